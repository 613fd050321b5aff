package org.ploverspindle.leadership;

import java.util.Optional;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.JobOwner;

/**
 * Finds the team and the resources of a task that runs without a placement, so that the task counts
 * for its team's limit while it may run.
 */
final class TaskOwners {
  private final AcceptedJobIndex acceptedJobs;
  private final TeamUsage teams;

  TaskOwners(AcceptedJobIndex acceptedJobs, TeamUsage teams) {
    this.acceptedJobs = acceptedJobs;
    this.teams = teams;
  }

  /** The owner of the job's tasks; empty if the job or its team is unknown. */
  Optional<HeartbeatHandler.TaskOwner> of(String uid) {
    return acceptedJobs.owner(uid).flatMap(this::of);
  }

  private Optional<HeartbeatHandler.TaskOwner> of(JobOwner owner) {
    return teams
        .indexOf(owner.team())
        .map(team -> new HeartbeatHandler.TaskOwner(team, owner.perTask()));
  }
}
