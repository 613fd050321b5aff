package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ploverspindle.cluster.Job;

/** What the records are known to say of tasks, or may say if an unanswered write stands. */
final class DurableTasks {
  private final Map<Job, BitSet> done = new HashMap<>();

  /** Tasks that the newest statement, also an unanswered one, may say to be on a machine. */
  private final Map<Job, BitSet> live = new HashMap<>();

  void loadedDone(Job job, BitSet tasks) {
    done.put(job, (BitSet) tasks.clone());
  }

  void loadedLive(Job job, BitSet tasks) {
    live.put(job, tasks);
  }

  boolean isDone(Job job, int task) {
    BitSet tasks = done.get(job);
    return tasks != null && tasks.get(task);
  }

  /** From now on the statement may stand, whether an answer tells of it or not. */
  void sending(TaskStatuses s) {
    if (!s.placements().isEmpty()) {
      BitSet tasks = live.computeIfAbsent(s.job(), j -> new BitSet());
      s.placements().forEach(p -> tasks.set(p.task()));
    }
  }

  /** The statement stands, and is the newest of its tasks. */
  void committed(TaskStatuses s) {
    if (!s.job().isTerminal()) {
      done.computeIfAbsent(s.job(), j -> new BitSet()).or(s.done());
    }
    BitSet tasks = live.get(s.job());
    if (tasks != null) {
      tasks.andNot(s.tasks());
      s.placements().forEach(p -> tasks.set(p.task()));
      if (tasks.isEmpty()) {
        live.remove(s.job());
      }
    }
  }

  /** The tasks that a record may say to be on a machine although they are on none. */
  BitSet recordedButGone(Job job) {
    BitSet tasks = (BitSet) live.getOrDefault(job, new BitSet()).clone();
    job.activePlacements().forEach(p -> tasks.clear(p.task()));
    return tasks;
  }

  void forgetDone(Job job) {
    done.remove(job);
  }

  void forgetLive(Job job) {
    live.remove(job);
  }

  /** A job with tasks that may be recorded as placed. */
  Optional<Job> job(String uid) {
    return live.keySet().stream().filter(j -> j.uid().equals(uid)).findFirst();
  }
}
