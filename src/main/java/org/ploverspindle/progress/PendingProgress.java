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
  private final LinkedHashMap<Job, BitSet> changed = new LinkedHashMap<>();

  /** Tasks of cancelled jobs that are gone, while a record may yet say where they are. */
  private final LinkedHashMap<Job, BitSet> toClear = new LinkedHashMap<>();

  /** Jobs of which all tasks are done, by uid. */
  private final LinkedHashMap<String, Job> ending = new LinkedHashMap<>();

  /** Chunks whose checkpoint nobody needs any more. */
  private final LinkedHashSet<TaskShard> removable = new LinkedHashSet<>();

  void changed(Job job, int task) {
    changed.computeIfAbsent(job, j -> new BitSet()).set(task);
  }

  void changed(Job job, BitSet tasks) {
    changed.computeIfAbsent(job, j -> new BitSet()).or(tasks);
  }

  void clear(Job job, BitSet tasks) {
    toClear.computeIfAbsent(job, j -> new BitSet()).or(tasks);
  }

  void ending(Job job) {
    ending.putIfAbsent(job.uid(), job);
  }

  void ended(Job job) {
    ending.remove(job.uid());
  }

  void removable(TaskShard c) {
    removable.add(c);
  }

  void forgetChanges(Job job) {
    changed.remove(job);
  }

  void forgetClearing(Job job) {
    toClear.remove(job);
  }

  /** A record that speaks of these tasks is about to be sent. */
  void said(Job job, BitSet tasks) {
    remove(changed, job, tasks);
    remove(toClear, job, tasks);
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
    changed
        .entrySet()
        .removeIf(e -> e.getKey().quarantined() || e.getKey().finished() || e.getValue().isEmpty());
    return changed;
  }

  Map<Job, BitSet> clearings() {
    return toClear;
  }

  /** The jobs to end; what is taken is removed. */
  Iterator<Job> endings() {
    return ending.values().iterator();
  }

  /** The chunks to remove; what is taken is removed. */
  Iterator<TaskShard> removals() {
    return removable.iterator();
  }

  /** Those whose checkpoint does not stand need no removal. */
  void keepRemovable(ShardSnapshots checkpoints) {
    removable.removeIf(c -> !checkpoints.exists(c));
  }

  boolean hasChanges() {
    return !changed.isEmpty();
  }

  boolean hasEndings() {
    return !ending.isEmpty();
  }

  boolean hasRemovals() {
    return !removable.isEmpty();
  }

  boolean hasClearings() {
    return !toClear.isEmpty();
  }

  boolean isToBeCleared(Job job) {
    return toClear.containsKey(job);
  }

  /** A job with changes. */
  Optional<Job> job(String uid) {
    return changed.keySet().stream().filter(j -> j.uid().equals(uid)).findFirst();
  }

  int jobsWithChanges() {
    return changed.size();
  }

  /** How much waits to be written. */
  int size() {
    return changed.size() + ending.size() + toClear.size();
  }
}
