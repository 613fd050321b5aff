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

/**
 * Checks the dependencies of a submitted job, and finds the jobs whose cancellation would abort it
 * while it is being stored.
 */
final class DependencyCheck {
  /**
   * A job with more unfinished dependencies than this is accepted after a read barrier, without
   * guarded dependencies.
   */
  private static final int MAX_GUARDED_DEPENDENCIES = 6;

  private final AcceptedJobIndex acceptedJobs;
  private final Pipelines pipelines;
  private final JobStatusReader statuses;
  private final int maxGuardedDependencies;

  /**
   * @param maxConditions largest number of conditions that a transaction can have on the guarded
   *     dependencies of one job
   */
  DependencyCheck(
      AcceptedJobIndex acceptedJobs,
      Pipelines pipelines,
      JobStatusReader statuses,
      int maxConditions) {
    this.acceptedJobs = acceptedJobs;
    this.pipelines = pipelines;
    this.statuses = statuses;
    this.maxGuardedDependencies = Math.min(MAX_GUARDED_DEPENDENCIES, maxConditions);
  }

  /**
   * Returns why the job can't have the dependencies that it names, as a message for its user; empty
   * if it can. Only a result after a read barrier may be reported, as before that the replica may
   * not show a dependency that was accepted.
   */
  Optional<String> dependencyError(JobSpec spec) {
    for (String uid : spec.dependencies()) {
      if (!acceptedJobs.isAccepted(uid)) {
        return Optional.of("awaits a job that was never accepted: " + uid);
      }
      if (acceptedJobs.isService(uid)) {
        return Optional.of("awaits a service, which is never done: " + uid);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the guarded dependencies of a job: all its direct and indirect dependencies that are
   * not done. The job is aborted exactly if one of them is cancelled.
   *
   * @return an empty list if all dependencies are done, or if the replica shows that the job is
   *     already aborted, which is final; an empty value if a dependency is invalid, if the replica
   *     does not show all dependencies, or if they are too many for the conditions of a transaction
   */
  Optional<List<String>> guardedDependencies(JobSpec spec) {
    if (dependencyError(spec).isPresent()) {
      return Optional.empty();
    }
    Set<String> unfinished = new LinkedHashSet<>();
    Deque<String> unvisited = new ArrayDeque<>(spec.dependencies());
    while (!unvisited.isEmpty()) {
      String uid = unvisited.poll();
      if (statuses.isAborted(uid)) {
        return Optional.of(List.of());
      }
      if (!statuses.isDone(uid) && unfinished.add(uid)) {
        if (unfinished.size() > maxGuardedDependencies
            || !pipelines.graph().areDependenciesKnown(uid)) {
          return Optional.empty();
        }
        unvisited.addAll(pipelines.graph().dependenciesOf(uid));
      }
    }
    return Optional.of(List.copyOf(unfinished));
  }
}
