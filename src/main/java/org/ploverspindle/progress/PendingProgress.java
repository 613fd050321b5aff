package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import org.ploverspindle.cluster.Job;

/** Progress that is not written yet. Each kind is kept in the order in which it was added. */
final class PendingProgress {
  private final LinkedHashMap<Job, BitSet> changedTasks = new LinkedHashMap<>();

  /** Tasks of cancelled jobs that have ended and that a record may still place on a machine. */
  private final LinkedHashMap<Job, BitSet> placementsToClear = new LinkedHashMap<>();

  /** Jobs whose tasks have all completed and whose completion is not recorded yet, by uid. */
  private final LinkedHashMap<String, Job> completions = new LinkedHashMap<>();

  /** Shards whose snapshot is no longer needed. */
  private final LinkedHashSet<TaskShard> snapshotRemovals = new LinkedHashSet<>();

  void markChanged(Job job, int task) {
    changedTasks.computeIfAbsent(job, j -> new BitSet()).set(task);
  }

  void markChanged(Job job, BitSet tasks) {
    changedTasks.computeIfAbsent(job, j -> new BitSet()).or(tasks);
  }

  void markPlacementsToClear(Job job, BitSet tasks) {
    placementsToClear.computeIfAbsent(job, j -> new BitSet()).or(tasks);
  }

  void markCompleted(Job job) {
    completions.putIfAbsent(job.uid(), job);
  }

  void removeCompletion(Job job) {
    completions.remove(job.uid());
  }

  void markSnapshotRemovable(TaskShard shard) {
    snapshotRemovals.add(shard);
  }

  void removeChangedTasks(Job job) {
    changedTasks.remove(job);
  }

  void removePlacementsToClear(Job job) {
    placementsToClear.remove(job);
  }

  /** Removes tasks whose current status is in a log record that is about to be sent. */
  void removeIncluded(Job job, BitSet tasks) {
    remove(changedTasks, job, tasks);
    remove(placementsToClear, job, tasks);
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

  /**
   * Returns the changed tasks by job. Drops those of quarantined and finished jobs, whose progress
   * is no longer written.
   */
  Map<Job, BitSet> changedTasks() {
    changedTasks
        .entrySet()
        .removeIf(e -> e.getKey().quarantined() || e.getKey().finished() || e.getValue().isEmpty());
    return Collections.unmodifiableMap(changedTasks);
  }

  /** Returns the tasks whose recorded placement is to be cleared, by job. */
  Map<Job, BitSet> placementsToClear() {
    return Collections.unmodifiableMap(placementsToClear);
  }

  /**
   * Iterates over the jobs whose completion is to be recorded. The caller removes each job that it
   * takes.
   */
  Iterator<Job> completions() {
    return completions.values().iterator();
  }

  /**
   * Iterates over the shards whose snapshot is to be removed. The caller removes each shard that it
   * takes.
   */
  Iterator<TaskShard> snapshotRemovals() {
    return snapshotRemovals.iterator();
  }

  /** Drops the pending removals of snapshots that don't exist. */
  void dropRemovalsOfMissingSnapshots(ShardSnapshots snapshots) {
    snapshotRemovals.removeIf(shard -> !snapshots.exists(shard));
  }

  boolean hasChangedTasks() {
    return !changedTasks.isEmpty();
  }

  boolean hasCompletions() {
    return !completions.isEmpty();
  }

  boolean hasSnapshotRemovals() {
    return !snapshotRemovals.isEmpty();
  }

  boolean hasPlacementsToClear() {
    return !placementsToClear.isEmpty();
  }

  boolean hasPlacementsToClear(Job job) {
    return placementsToClear.containsKey(job);
  }

  /** Finds the job with this uid if it has changed tasks. */
  Optional<Job> findJob(String uid) {
    return changedTasks.keySet().stream().filter(job -> job.uid().equals(uid)).findFirst();
  }

  int jobsWithChangedTasks() {
    return changedTasks.size();
  }

  /**
   * The sum of three counts: jobs with changed tasks, jobs whose completion is to be recorded, and
   * jobs with placements to clear.
   */
  int size() {
    return changedTasks.size() + completions.size() + placementsToClear.size();
  }
}
