package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ploverspindle.cluster.Job;

/** Which tasks are recorded as completed, and which may be recorded as placed on a machine. */
final class DurableTasks {
  private final Map<Job, BitSet> completed = new HashMap<>();

  /** Tasks that the latest record, including unanswered writes, may place on a machine. */
  private final Map<Job, BitSet> placed = new HashMap<>();

  void loadCompleted(Job job, BitSet tasks) {
    completed.put(job, (BitSet) tasks.clone());
  }

  void loadPlaced(Job job, BitSet tasks) {
    placed.put(job, tasks);
  }

  boolean isCompleted(Job job, int task) {
    BitSet tasks = completed.get(job);
    return tasks != null && tasks.get(task);
  }

  /** The statuses are being sent: from now on they may be stored, answered or not. */
  void sending(TaskStatuses statuses) {
    if (!statuses.placements().isEmpty()) {
      BitSet tasks = placed.computeIfAbsent(statuses.job(), j -> new BitSet());
      statuses.placements().forEach(p -> tasks.set(p.task()));
    }
  }

  /** The statuses are stored, and are the latest of their tasks. */
  void committed(TaskStatuses statuses) {
    if (!statuses.job().isTerminal()) {
      completed.computeIfAbsent(statuses.job(), j -> new BitSet()).or(statuses.completed());
    }
    BitSet tasks = placed.get(statuses.job());
    if (tasks != null) {
      tasks.andNot(statuses.tasks());
      statuses.placements().forEach(p -> tasks.set(p.task()));
      if (tasks.isEmpty()) {
        placed.remove(statuses.job());
      }
    }
  }

  /** Tasks that a record may place on a machine although they are on none. */
  BitSet placedInRecordsOnly(Job job) {
    BitSet tasks = (BitSet) placed.getOrDefault(job, new BitSet()).clone();
    job.activePlacements().forEach(p -> tasks.clear(p.task()));
    return tasks;
  }

  void forgetCompleted(Job job) {
    completed.remove(job);
  }

  void forgetPlaced(Job job) {
    placed.remove(job);
  }

  /** A job with tasks that may be recorded as placed. */
  Optional<Job> findJob(String uid) {
    return placed.keySet().stream().filter(j -> j.uid().equals(uid)).findFirst();
  }
}
