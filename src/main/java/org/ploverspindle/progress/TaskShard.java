package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.state.Keys;

/** A run of consecutive tasks of a job whose statuses are stored in one snapshot. */
record TaskShard(Job job, int index) {
  /** The key of the shard's snapshot in the state service. */
  String snapshotKey() {
    return Keys.snapshot(job.uid(), index);
  }

  int firstTask() {
    return index * job.shardSize();
  }

  /** The index after that of the shard's last task. */
  int endTask() {
    return Math.min(job.spec().tasks(), firstTask() + job.shardSize());
  }

  /** Splits the tasks of a job by the shards that they belong to. */
  static Map<TaskShard, BitSet> splitByShard(Job job, BitSet tasks) {
    Map<TaskShard, BitSet> shards = new LinkedHashMap<>();
    for (int task = tasks.nextSetBit(0); task >= 0; task = tasks.nextSetBit(task + 1)) {
      shards
          .computeIfAbsent(new TaskShard(job, job.shardOf(task)), shard -> new BitSet())
          .set(task);
    }
    return shards;
  }
}
