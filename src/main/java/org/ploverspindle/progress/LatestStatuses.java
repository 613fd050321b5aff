package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.state.TaskRanges;

/**
 * Tracks which record of the progress log holds the latest status of each task.
 *
 * <p>The memory grows with the number of tasks whose latest status is in the log, and with the
 * stored size of the records that hold them. It does not depend on how the tasks of a shard are
 * spread over the records.
 */
final class LatestStatuses {
  /** The latest statuses of each job that has any in the log. */
  private final Map<Job, JobStatuses> statusesByJob = new HashMap<>();

  /** The records that hold the latest status of at least one task, by sequence number. */
  private final TreeMap<Long, RecordTasks> records = new TreeMap<>();

  /** The tasks whose statuses a record has, and how many of these statuses are the latest ones. */
  private static final class RecordTasks {
    /** Includes tasks whose latest status has since moved to another record or to a snapshot. */
    private final Map<Job, TaskRanges> tasksByJob = new LinkedHashMap<>();

    private int latestCount;
  }

  /**
   * Called when the record has the statuses of these tasks. They become the latest ones, except for
   * tasks whose status is also in a newer record.
   */
  void statusRecorded(Job job, BitSet tasks, long sequence) {
    JobStatuses statuses = statusesByJob.computeIfAbsent(job, JobStatuses::new);
    RecordTasks record = records.computeIfAbsent(sequence, key -> new RecordTasks());
    BitSet newest = new BitSet();
    for (int task = tasks.nextSetBit(0); task >= 0; task = tasks.nextSetBit(task + 1)) {
      long previous = statuses.sequence(task);
      if (previous < sequence) {
        statuses.set(task, sequence);
        newest.set(task);
        record.latestCount++;
        if (previous != JobStatuses.NONE) {
          removeLatest(previous);
        }
      }
    }
    if (!newest.isEmpty()) {
      record.tasksByJob.merge(job, TaskRanges.of(newest), TaskRanges::union);
    }
    if (record.latestCount == 0) {
      records.remove(sequence);
    }
    removeIfEmpty(statuses);
  }

  /** Called when no record up to {@code lastSequence} is needed for the shard any more. */
  void releaseUpTo(TaskShard shard, long lastSequence) {
    JobStatuses statuses = statusesByJob.get(shard.job());
    if (statuses == null) {
      return;
    }
    for (int task = shard.firstTask(); task < shard.endTask(); task++) {
      long sequence = statuses.sequence(task);
      if (sequence != JobStatuses.NONE && sequence <= lastSequence) {
        statuses.clear(task);
        removeLatest(sequence);
      }
    }
    removeIfEmpty(statuses);
  }

  /** Called when this record is not needed any more for jobs that are fully stopped. */
  void releaseFullyStopped(long sequence) {
    latestIn(sequence)
        .forEach(
            (job, tasks) -> {
              if (job.isFullyStopped()) {
                release(job, tasks, sequence);
              }
            });
  }

  private void release(Job job, BitSet tasks, long sequence) {
    JobStatuses statuses = statusesByJob.get(job);
    tasks.stream()
        .forEach(
            task -> {
              statuses.clear(task);
              removeLatest(sequence);
            });
    removeIfEmpty(statuses);
  }

  private void removeLatest(long sequence) {
    RecordTasks record = records.get(sequence);
    record.latestCount--;
    if (record.latestCount == 0) {
      records.remove(sequence);
    }
  }

  /** Forgets a job without latest statuses, so that no record keeps it in memory. */
  private void removeIfEmpty(JobStatuses statuses) {
    if (statuses.isEmpty()) {
      statusesByJob.remove(statuses.job());
      records.values().forEach(record -> record.tasksByJob.remove(statuses.job()));
    }
  }

  /** Returns the tasks whose latest status is in this record, by job. */
  Map<Job, BitSet> latestIn(long sequence) {
    Map<Job, BitSet> latest = new LinkedHashMap<>();
    RecordTasks record = records.get(sequence);
    if (record != null) {
      for (Map.Entry<Job, TaskRanges> entry : record.tasksByJob.entrySet()) {
        BitSet tasks = new BitSet();
        JobStatuses statuses = statusesByJob.get(entry.getKey());
        entry.getValue().addTo(tasks);
        for (int task = tasks.nextSetBit(0); task >= 0; task = tasks.nextSetBit(task + 1)) {
          if (statuses.sequence(task) != sequence) {
            tasks.clear(task);
          }
        }
        if (!tasks.isEmpty()) {
          latest.put(entry.getKey(), tasks);
        }
      }
    }
    return latest;
  }

  /** Returns the shard's tasks whose latest status is in a record up to this one. */
  BitSet latestUpTo(TaskShard shard, long lastSequence) {
    BitSet tasks = new BitSet();
    JobStatuses statuses = statusesByJob.get(shard.job());
    if (statuses != null) {
      for (int task = shard.firstTask(); task < shard.endTask(); task++) {
        long sequence = statuses.sequence(task);
        if (sequence != JobStatuses.NONE && sequence <= lastSequence) {
          tasks.set(task);
        }
      }
    }
    return tasks;
  }

  /**
   * Visits the shards that have a task whose latest status is in a record up to this one, those in
   * the oldest record first. A shard may be visited several times.
   *
   * @param visitor returns false to end the visit
   */
  void visitShardsUpTo(long lastSequence, Predicate<TaskShard> visitor) {
    for (Map.Entry<Long, RecordTasks> record : records.headMap(lastSequence, true).entrySet()) {
      for (Map.Entry<Job, TaskRanges> tasks : record.getValue().tasksByJob.entrySet()) {
        if (!visitShards(tasks.getKey(), tasks.getValue(), record.getKey(), visitor)) {
          return;
        }
      }
    }
  }

  private boolean visitShards(
      Job job, TaskRanges tasks, long sequence, Predicate<TaskShard> visitor) {
    JobStatuses statuses = statusesByJob.get(job);
    int lastVisited = -1;
    for (int range = 0; range < tasks.rangeCount(); range++) {
      for (int task = tasks.firstTask(range); task <= tasks.lastTask(range); task++) {
        int index = job.shardOf(task);
        if (index != lastVisited && statuses.sequence(task) == sequence) {
          lastVisited = index;
          if (!visitor.test(new TaskShard(job, index))) {
            return false;
          }
        }
      }
    }
    return true;
  }

  /** Finds the job with this uid if the latest status of one of its tasks is in the log. */
  Optional<Job> findJob(String uid) {
    return statusesByJob.keySet().stream().filter(job -> job.uid().equals(uid)).findFirst();
  }
}
