package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.state.Keys;

/** A run of a job's tasks that is checkpointed as a whole. */
record TaskShard(Job job, int index) {
  /** The key of its checkpoint. */
  String key() {
    return Keys.snapshot(job.uid(), index);
  }

  int firstTask() {
    return index * job.shardSize();
  }

  /** The task after its last one. */
  int endTask() {
    return Math.min(job.spec().tasks(), firstTask() + job.shardSize());
  }

  /** The chunks that these tasks of the job are in, each with those that are in it. */
  static Map<TaskShard, BitSet> of(Job job, BitSet tasks) {
    Map<TaskShard, BitSet> chunks = new LinkedHashMap<>();
    for (int t = tasks.nextSetBit(0); t >= 0; t = tasks.nextSetBit(t + 1)) {
      chunks.computeIfAbsent(new TaskShard(job, job.shardOf(t)), c -> new BitSet()).set(t);
    }
    return chunks;
  }
}
