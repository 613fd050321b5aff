package org.ploverspindle.progress;

import java.util.Arrays;
import org.ploverspindle.cluster.Job;

/**
 * For each task of a job, the sequence number of the log record that holds its latest status.
 * Memory is used only for shards that have such a task.
 */
final class JobStatuses {
  /** Used instead of a sequence number when the latest status of the task is not in the log. */
  static final long NONE = Long.MIN_VALUE;

  private final Job job;
  private final long[][] sequencesByShard;
  private final int[] countByShard;
  private int count;

  JobStatuses(Job job) {
    this.job = job;
    this.sequencesByShard = new long[job.shardCount()][];
    this.countByShard = new int[job.shardCount()];
  }

  Job job() {
    return job;
  }

  boolean isEmpty() {
    return count == 0;
  }

  /** The sequence number of the record with the task's latest status, or {@link #NONE}. */
  long sequence(int task) {
    long[] sequences = sequencesByShard[job.shardOf(task)];
    return sequences == null ? NONE : sequences[task % job.shardSize()];
  }

  void set(int task, long sequence) {
    int shard = job.shardOf(task);
    if (sequencesByShard[shard] == null) {
      sequencesByShard[shard] = new long[new TaskShard(job, shard).size()];
      Arrays.fill(sequencesByShard[shard], NONE);
    }
    long[] sequences = sequencesByShard[shard];
    int index = task % job.shardSize();
    if (sequences[index] == NONE) {
      countByShard[shard]++;
      count++;
    }
    sequences[index] = sequence;
  }

  /** Called when the latest status of the task is not needed from the log any more. */
  void clear(int task) {
    int shard = job.shardOf(task);
    long[] sequences = sequencesByShard[shard];
    int index = task % job.shardSize();
    if (sequences == null || sequences[index] == NONE) {
      return;
    }
    sequences[index] = NONE;
    count--;
    countByShard[shard]--;
    if (countByShard[shard] == 0) {
      sequencesByShard[shard] = null;
    }
  }
}
