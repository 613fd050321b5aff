package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import org.ploverspindle.cluster.Job;

/** What is to be written, in the order in which it came. */
final class PendingProgress {
  /** Tasks that changed. */
  private final LinkedHashMap<Job, BitSet> markChanged = new LinkedHashMap<>();

  /** Tasks of cancelled jobs that are gone, while a record may yet say where they are. */
  private final LinkedHashMap<Job, BitSet> clearings = new LinkedHashMap<>();

  /** Jobs of which all tasks are done, by uid. */
  private final LinkedHashMap<String, Job> markCompleted = new LinkedHashMap<>();

  /** Chunks whose checkpoint nobody needs any more. */
  private final LinkedHashSet<TaskShard> markRemovable = new LinkedHashSet<>();

  void markChanged(Job job, int task) {
    markChanged.computeIfAbsent(job, j -> new BitSet()).set(task);
  }

  void markChanged(Job job, BitSet tasks) {
    markChanged.computeIfAbsent(job, j -> new BitSet()).or(tasks);
  }

  void markForClearing(Job job, BitSet tasks) {
    clearings.computeIfAbsent(job, j -> new BitSet()).or(tasks);
  }

  void markCompleted(Job job) {
    markCompleted.putIfAbsent(job.uid(), job);
  }

  void completionRecorded(Job job) {
    markCompleted.remove(job.uid());
  }

  void markRemovable(TaskShard shard) {
    markRemovable.add(shard);
  }

  void forgetChanges(Job job) {
    markChanged.remove(job);
  }

  void forgetClearing(Job job) {
    clearings.remove(job);
  }

  /** A record that speaks of these tasks is about to be sent. */
  void included(Job job, BitSet tasks) {
    remove(markChanged, job, tasks);
    remove(clearings, job, tasks);
  }

  private static void remove(Map<Job, BitSet> from, Job job, BitSet tasks) {
    BitSet left = from.get(job);
    if (left != null) {
      left.andNot(tasks);
      if (left.isEmpty()) {
        from.remove(job);
      }
    }
  }

  /** What changed; of jobs that nothing is to be said of any more it is dropped. */
  Map<Job, BitSet> changes() {
    markChanged
        .entrySet()
        .removeIf(e -> e.getKey().quarantined() || e.getKey().finished() || e.getValue().isEmpty());
    return markChanged;
  }

  Map<Job, BitSet> clearings() {
    return clearings;
  }

  /** The jobs to end; what is taken is removed. */
  Iterator<Job> completions() {
    return markCompleted.values().iterator();
  }

  /** The chunks to remove; what is taken is removed. */
  Iterator<TaskShard> snapshotRemovals() {
    return markRemovable.iterator();
  }

  /** Those whose checkpoint does not stand need no removal. */
  void retainExisting(ShardSnapshots snapshots) {
    markRemovable.removeIf(c -> !snapshots.exists(c));
  }

  boolean hasChanges() {
    return !markChanged.isEmpty();
  }

  boolean hasCompletions() {
    return !markCompleted.isEmpty();
  }

  boolean hasSnapshotRemovals() {
    return !markRemovable.isEmpty();
  }

  boolean hasClearings() {
    return !clearings.isEmpty();
  }

  boolean isToBeCleared(Job job) {
    return clearings.containsKey(job);
  }

  /** A job with changes. */
  Optional<Job> findJob(String uid) {
    return markChanged.keySet().stream().filter(j -> j.uid().equals(uid)).findFirst();
  }

  int jobsWithChanges() {
    return markChanged.size();
  }

  /** How much waits to be written. */
  int size() {
    return markChanged.size() + markCompleted.size() + clearings.size();
  }
}
