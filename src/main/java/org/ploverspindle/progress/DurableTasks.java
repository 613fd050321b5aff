package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ploverspindle.cluster.Job;

/**
 * Tracks which tasks are recorded as completed, and which may be recorded as placed on a machine.
 */
final class DurableTasks {
  private final Map<Job, BitSet> completed = new HashMap<>();

  /**
   * Tasks that their latest record places on a machine, or that a write without an answer may have
   * placed there.
   */
  private final Map<Job, BitSet> possiblyPlaced = new HashMap<>();

  void loadCompleted(Job job, BitSet tasks) {
    completed.put(job, (BitSet) tasks.clone());
  }

  void loadPlaced(Job job, BitSet tasks) {
    possiblyPlaced.put(job, tasks);
  }

  boolean isCompleted(Job job, int task) {
    BitSet tasks = completed.get(job);
    return tasks != null && tasks.get(task);
  }

  /**
   * Called before the statuses are sent. From then on they may be stored, whether or not the write
   * is answered.
   */
  void markPossiblyStored(TaskStatuses statuses) {
    if (!statuses.placements().isEmpty()) {
      BitSet tasks = possiblyPlaced.computeIfAbsent(statuses.job(), j -> new BitSet());
      statuses.placements().forEach(p -> tasks.set(p.task()));
    }
  }

  /** Called when the statuses are stored and are the latest ones of their tasks. */
  void markCommitted(TaskStatuses statuses) {
    if (!statuses.job().isTerminal()) {
      completed.computeIfAbsent(statuses.job(), j -> new BitSet()).or(statuses.completed());
    }
    BitSet tasks = possiblyPlaced.get(statuses.job());
    if (tasks != null) {
      tasks.andNot(statuses.tasks());
      statuses.placements().forEach(p -> tasks.set(p.task()));
      if (tasks.isEmpty()) {
        possiblyPlaced.remove(statuses.job());
      }
    }
  }

  /**
   * Returns the tasks that a record may place on a machine although the job has no active placement
   * of them.
   */
  BitSet tasksWithStalePlacement(Job job) {
    BitSet tasks = (BitSet) possiblyPlaced.getOrDefault(job, new BitSet()).clone();
    job.activePlacements().forEach(p -> tasks.clear(p.task()));
    return tasks;
  }

  void removeCompleted(Job job) {
    completed.remove(job);
  }

  void removePlaced(Job job) {
    possiblyPlaced.remove(job);
  }

  /** Finds the job with this uid if it has tasks that may be recorded as placed. */
  Optional<Job> findJob(String uid) {
    return possiblyPlaced.keySet().stream().filter(j -> j.uid().equals(uid)).findFirst();
  }
}
