package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import org.ploverspindle.cluster.Job;

/** Progress that is not written yet, in the order in which it arose. */
final class PendingProgress {
  private final LinkedHashMap<Job, BitSet> changedTasks = new LinkedHashMap<>();

  /** Ended tasks of cancelled jobs that a record may still place on a machine. */
  private final LinkedHashMap<Job, BitSet> clearings = new LinkedHashMap<>();

  /** Jobs of which all tasks have completed, by uid. */
  private final LinkedHashMap<String, Job> completions = new LinkedHashMap<>();

  /** Shards whose snapshot is no longer needed. */
  private final LinkedHashSet<TaskShard> snapshotRemovals = new LinkedHashSet<>();

  void markChanged(Job job, int task) {
    changedTasks.computeIfAbsent(job, j -> new BitSet()).set(task);
  }

  void markChanged(Job job, BitSet tasks) {
    changedTasks.computeIfAbsent(job, j -> new BitSet()).or(tasks);
  }

  void markForClearing(Job job, BitSet tasks) {
    clearings.computeIfAbsent(job, j -> new BitSet()).or(tasks);
  }

  void markCompleted(Job job) {
    completions.putIfAbsent(job.uid(), job);
  }

  void completionRecorded(Job job) {
    completions.remove(job.uid());
  }

  void markRemovable(TaskShard shard) {
    snapshotRemovals.add(shard);
  }

  void forgetChanges(Job job) {
    changedTasks.remove(job);
  }

  void forgetClearing(Job job) {
    clearings.remove(job);
  }

  /** A log record with the status of these tasks is about to be sent. */
  void included(Job job, BitSet tasks) {
    remove(changedTasks, job, tasks);
    remove(clearings, job, tasks);
  }

  private static void remove(Map<Job, BitSet> tasksByJob, Job job, BitSet tasks) {
    BitSet remaining = tasksByJob.get(job);
    if (remaining != null) {
      remaining.andNot(tasks);
      if (remaining.isEmpty()) {
        tasksByJob.remove(job);
      }
    }
  }

  /** Tasks that changed; drops those of jobs whose progress is not written any more. */
  Map<Job, BitSet> changes() {
    changedTasks
        .entrySet()
        .removeIf(e -> e.getKey().quarantined() || e.getKey().finished() || e.getValue().isEmpty());
    return Collections.unmodifiableMap(changedTasks);
  }

  /** Tasks whose recorded placement is to be cleared. */
  Map<Job, BitSet> clearings() {
    return Collections.unmodifiableMap(clearings);
  }

  /** Jobs whose completion is to be recorded; whoever takes one removes it. */
  Iterator<Job> completions() {
    return completions.values().iterator();
  }

  /** Shards whose snapshot is to be removed; whoever takes one removes it. */
  Iterator<TaskShard> snapshotRemovals() {
    return snapshotRemovals.iterator();
  }

  /** Drops the removals of snapshots that don't exist. */
  void retainExisting(ShardSnapshots snapshots) {
    snapshotRemovals.removeIf(shard -> !snapshots.exists(shard));
  }

  boolean hasChanges() {
    return !changedTasks.isEmpty();
  }

  boolean hasCompletions() {
    return !completions.isEmpty();
  }

  boolean hasSnapshotRemovals() {
    return !snapshotRemovals.isEmpty();
  }

  boolean hasClearings() {
    return !clearings.isEmpty();
  }

  boolean isToBeCleared(Job job) {
    return clearings.containsKey(job);
  }

  /** A job with changed tasks. */
  Optional<Job> findJob(String uid) {
    return changedTasks.keySet().stream().filter(job -> job.uid().equals(uid)).findFirst();
  }

  int jobsWithChanges() {
    return changedTasks.size();
  }

  /** The number of jobs with changes, completions and clearings, added up. */
  int size() {
    return changedTasks.size() + completions.size() + clearings.size();
  }
}
