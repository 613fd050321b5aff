package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.state.Keys;

/** Consecutive tasks of a job whose statuses are kept in one snapshot. */
record TaskShard(Job job, int index) {
  /** The key of its snapshot. */
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

  /** The shards that these tasks of the job are in, each with those of the tasks in it. */
  static Map<TaskShard, BitSet> of(Job job, BitSet tasks) {
    Map<TaskShard, BitSet> shards = new LinkedHashMap<>();
    for (int task = tasks.nextSetBit(0); task >= 0; task = tasks.nextSetBit(task + 1)) {
      shards.computeIfAbsent(new TaskShard(job, job.shardOf(task)), c -> new BitSet()).set(task);
    }
    return shards;
  }
}
