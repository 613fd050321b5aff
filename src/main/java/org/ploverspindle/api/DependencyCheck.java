package org.ploverspindle.api;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.JobRecord;

/**
 * May a job depend on the jobs that it names, and what can change about that while it is stored?
 */
final class DependencyCheck {
  /** Beyond so many unfinished jobs before it a job is accepted after a read instead. */
  private static final int MAX_GUARDS = 6;

  private final AcceptedJobIndex acceptedJobs;
  private final Pipelines pipelines;
  private final JobStatusReader statuses;
  private final int maxGuards;

  /**
   * @param conditions how many conditions a transaction has for one job's guards
   */
  DependencyCheck(
      AcceptedJobIndex specs, Pipelines pipelines, JobStatusReader states, int conditions) {
    this.acceptedJobs = specs;
    this.pipelines = pipelines;
    this.statuses = states;
    this.maxGuards = Math.min(MAX_GUARDS, conditions);
  }

  /** Why the job can't depend on what it names; to be asked after a barrier. */
  Optional<String> invalidDependency(JobSpec spec) {
    for (String uid : spec.dependencies()) {
      Optional<AcceptedJobIndex.AcceptedJob> dependency = acceptedJobs.get(uid);
      if (dependency.isEmpty()) {
        return Optional.of("awaits a job that was never accepted: " + uid);
      }
      if (JobRecord.isService(dependency.get().value())) {
        return Optional.of("awaits a service, which is never done: " + uid);
      }
    }
    return Optional.empty();
  }

  /**
   * All jobs before this one that are not done, so that it is aborted exactly if one of them is
   * cancelled. None if the replica shows that it is aborted, which no later fact can change. Empty
   * when the replica does not show them all, or they are too many for a transaction's conditions.
   */
  Optional<List<String>> guards(JobSpec spec) {
    if (invalidDependency(spec).isPresent()) {
      return Optional.empty();
    }
    Set<String> unfinished = new LinkedHashSet<>();
    Deque<String> work = new ArrayDeque<>(spec.dependencies());
    while (!work.isEmpty()) {
      String uid = work.poll();
      if (statuses.isAborted(uid)) {
        return Optional.of(List.of());
      }
      if (!statuses.isDone(uid) && unfinished.add(uid)) {
        if (unfinished.size() > maxGuards || !pipelines.graph().isKnown(uid)) {
          return Optional.empty();
        }
        work.addAll(pipelines.graph().dependenciesOf(uid));
      }
    }
    return Optional.of(List.copyOf(unfinished));
  }
}
