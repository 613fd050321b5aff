package org.ploverspindle.sim;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** All jobs that users submitted, and what follows from their dependencies on each other. */
final class ObservedJobs {
  private final Map<String, ObservedJob> jobs = new HashMap<>();

  void add(ObservedJob job) {
    jobs.putIfAbsent(job.spec.uid(), job);
  }

  /** The job, or null if nobody submitted one of this id. */
  ObservedJob get(String uid) {
    return jobs.get(uid);
  }

  Collection<ObservedJob> all() {
    return jobs.values();
  }

  /** All jobs that it needs, directly or through others. */
  Set<ObservedJob> dependenciesOf(ObservedJob job) {
    Set<ObservedJob> dependencies = new LinkedHashSet<>();
    Deque<ObservedJob> pending = new ArrayDeque<>(List.of(job));
    while (!pending.isEmpty()) {
      for (String uid : pending.poll().spec.dependencies()) {
        ObservedJob dependency = jobs.get(uid);
        if (dependency != null && dependencies.add(dependency)) {
          pending.add(dependency);
        }
      }
    }
    return dependencies;
  }

  /** Nobody cancelled it or what it needs, and all that it needs is done. */
  boolean mayRun(ObservedJob job) {
    return !job.cancellationRequested
        && dependenciesOf(job).stream()
            .allMatch(dependency -> dependency.isComplete() && !dependency.isCancelled());
  }

  /** When the last job that it needs had its last task done, or when it was submitted. */
  long readyMs(ObservedJob job) {
    return dependenciesOf(job).stream()
        .mapToLong(dependency -> dependency.completedMs)
        .reduce(job.submittedMs, Math::max);
  }

  /** Accepted jobs that nobody cancelled and that have not begun. */
  long neverBegun() {
    return jobs.values().stream()
        .filter(job -> job.acceptedMs < Long.MAX_VALUE && mayRun(job) && job.firstStartMs < 0)
        .count();
  }

  /** Jobs of which something is on a machine, and that nobody has asked to cancel. */
  List<String> running() {
    return uids(job -> !job.placesByTask.isEmpty() && !job.cancellationRequested);
  }

  /** Jobs that a user was told to be accepted and not to be over. */
  List<String> unfinished(long nowMs) {
    return uids(job -> job.acceptedMs <= nowMs && job.finalStatus.isEmpty());
  }

  /** Jobs that a user was told to be done. */
  List<String> toldDone() {
    return uids(job -> job.finalStatus.equals("done"));
  }

  private List<String> uids(Predicate<ObservedJob> filter) {
    return jobs.values().stream().filter(filter).map(job -> job.spec.uid()).sorted().toList();
  }

  /** What the team's tasks on machines take. */
  double coresInUse(String team) {
    double cores = 0;
    for (ObservedJob job : jobs.values()) {
      if (job.spec.team().equals(team)) {
        cores += job.placesByTask.size() * job.spec.cores();
      }
    }
    return cores;
  }
}
