package org.ploverspindle.progress;

import org.ploverspindle.cluster.Job;
import org.ploverspindle.state.Keys;

/** A run of consecutive tasks of a job whose statuses are stored in one snapshot. */
record TaskShard(Job job, int index) {
  /** Returns the shard that the task belongs to. */
  static TaskShard of(Job job, int task) {
    return new TaskShard(job, job.shardOf(task));
  }

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

  /** The number of tasks in the shard. */
  int size() {
    return endTask() - firstTask();
  }
}
