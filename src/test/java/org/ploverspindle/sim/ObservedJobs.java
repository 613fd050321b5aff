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

/** All jobs that users submitted, and the states that follow from their dependencies. */
final class ObservedJobs {
  private final Map<String, ObservedJob> jobs = new HashMap<>();

  void add(ObservedJob job) {
    jobs.putIfAbsent(job.spec.uid(), job);
  }

  /** Returns the job, or null if no job with this uid was submitted. */
  ObservedJob get(String uid) {
    return jobs.get(uid);
  }

  Collection<ObservedJob> all() {
    return jobs.values();
  }

  /** Returns the job's direct and indirect dependencies. */
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

  /** Whether all dependencies are complete, and neither they nor the job were cancelled. */
  boolean mayRun(ObservedJob job) {
    return !job.cancellationRequested
        && dependenciesOf(job).stream()
            .allMatch(dependency -> dependency.isComplete() && !dependency.isCancelled());
  }

  /** Returns when the last dependency completed, or the time of submission if that is later. */
  long readyMs(ObservedJob job) {
    return dependenciesOf(job).stream()
        .mapToLong(dependency -> dependency.completedMs)
        .reduce(job.submittedMs, Math::max);
  }

  /** Counts the accepted jobs that may run and have not started. */
  long neverStartedCount() {
    return jobs.values().stream()
        .filter(job -> job.acceptedMs < Long.MAX_VALUE && mayRun(job) && job.firstStartMs < 0)
        .count();
  }

  /** Returns the jobs with tasks on machines for which no cancellation was requested. */
  List<String> running() {
    return uids(job -> !job.placesByTask.isEmpty() && !job.cancellationRequested);
  }

  /** Returns the accepted jobs for which no user was answered a final status. */
  List<String> unfinished(long nowMs) {
    return uids(job -> job.acceptedMs <= nowMs && job.finalStatus.isEmpty());
  }

  /** Returns the jobs that a user was answered to be done. */
  List<String> answeredDone() {
    return uids(job -> job.finalStatus.equals("done"));
  }

  private List<String> uids(Predicate<ObservedJob> filter) {
    return jobs.values().stream().filter(filter).map(job -> job.spec.uid()).sorted().toList();
  }

  /** Returns how many cores the team's tasks on machines use. */
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
