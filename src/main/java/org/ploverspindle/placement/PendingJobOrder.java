package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.ploverspindle.cluster.Job;

/**
 * The order in which jobs with pending tasks are served. Jobs are sorted by priority, then those
 * within their team's guarantee before the others, then by slack. Within each priority, {@link
 * AdmissionOrder} then moves jobs that can be in time before those that cannot.
 */
final class PendingJobOrder {
  /** A job with its sort keys, which are computed once and not in every comparison. */
  private record RankedJob(Job job, boolean beyondGuarantee, double slackS)
      implements Comparable<RankedJob> {
    @Override
    public int compareTo(RankedJob other) {
      int byPriority = job.priority().compareTo(other.job.priority());
      if (byPriority != 0) {
        return byPriority;
      }
      int byGuarantee = Boolean.compare(beyondGuarantee, other.beyondGuarantee);
      if (byGuarantee != 0) {
        return byGuarantee;
      }
      int bySlack = Double.compare(slackS, other.slackS);
      return bySlack != 0 ? bySlack : job.uid().compareTo(other.job.uid());
    }
  }

  /**
   * The capacity is computed again only when it is older than this, as computing it visits every
   * placement and placement runs many times a second.
   */
  private static final long MAX_CAPACITY_AGE_MS = 300;

  /** A machine whose last heartbeat is older than this does not count as capacity. */
  private static final long CAPACITY_HEARTBEAT_TIMEOUT_MS = 60_000;

  /** Estimates are often wrong: a task may be shorter than its estimate by this fraction of it. */
  private static final double ESTIMATE_ERROR = 0.4;

  /**
   * An objective that a job would miss by no more than this many seconds, beyond the error of its
   * estimate, still counts as one that it can meet.
   */
  private static final double LATE_MARGIN_S = 2;

  /** The deadline that is assumed for jobs without one, so late that they are served last. */
  private static final double NO_DEADLINE_S = 1e6;

  private static final double MS_PER_S = 1_000;

  private final ClusterView cluster;
  private final RuntimeEstimates estimates;
  private final ServiceLevelObjectives objectives;
  private Optional<Capacity> capacity = Optional.empty();
  private long capacityComputedMs;

  /**
   * For each team with a limit, the capacity within it. Jobs that can be in time are served first
   * also where a team has more work than its limit lets it run.
   */
  private final Map<Integer, Capacity> teamCapacity = new HashMap<>();

  PendingJobOrder(
      ClusterView cluster, RuntimeEstimates estimates, ServiceLevelObjectives objectives) {
    this.cluster = cluster;
    this.estimates = estimates;
    this.objectives = objectives;
  }

  /** Returns the jobs with tasks that could start now, in the order in which they are served. */
  List<Job> order(long nowMs, long wallMs) {
    List<RankedJob> ranked = new ArrayList<>();
    for (Job job : cluster.jobs().all()) {
      if (!job.isTerminal() && !job.quarantined() && job.schedulableTasks(nowMs) > 0) {
        boolean withinGuarantee = cluster.teams().isWithinGuarantee(job.team(), job.perTask());
        double slackS = remainingSlackS(job, wallMs).orElse(Double.MAX_VALUE);
        ranked.add(new RankedJob(job, !withinGuarantee, slackS));
      }
    }
    ranked.sort(null);
    List<Job> byLatestStart = new ArrayList<>(ranked.size());
    ranked.forEach(entry -> byLatestStart.add(entry.job()));
    Capacity fleetCapacity = capacity(nowMs);
    return new AdmissionOrder(
            job -> remainingSlackS(job, wallMs), fleetCapacity, teamCapacity, estimates, nowMs)
        .order(byLatestStart);
  }

  private Capacity capacity(long nowMs) {
    if (capacity.isEmpty() || nowMs - capacityComputedMs > MAX_CAPACITY_AGE_MS) {
      capacity =
          Optional.of(
              new Capacity(cluster.fleet(), estimates, nowMs, CAPACITY_HEARTBEAT_TIMEOUT_MS));
      capacityComputedMs = nowMs;
      computeTeamCapacity(nowMs);
    }
    return capacity.get();
  }

  private void computeTeamCapacity(long nowMs) {
    teamCapacity.clear();
    Map<Integer, List<Job>> jobsByTeam = new HashMap<>();
    for (Job job : cluster.jobs().all()) {
      jobsByTeam.computeIfAbsent(job.team(), team -> new ArrayList<>()).add(job);
    }
    jobsByTeam.forEach(
        (team, jobs) -> {
          OptionalLong limit = cluster.teams().remainingCores(team);
          if (limit.isPresent()) {
            teamCapacity.put(team, new Capacity(jobs, limit.getAsLong(), estimates, nowMs));
          }
        });
  }

  /** Returns the seconds since the job became eligible to run. */
  static double waitedS(Job job, long wallMs) {
    return (wallMs - job.eligibleSinceWallMs()) / MS_PER_S;
  }

  /**
   * Returns the seconds until the job's tasks must start for it to meet its deadline, by its
   * estimate; a large number for a job without a deadline.
   */
  double slackS(Job job, long wallMs) {
    return job.deadlineS().orElse(NO_DEADLINE_S)
        - waitedS(job, wallMs)
        - estimates.estimatedRuntimeS(job);
  }

  /**
   * Returns the slack in seconds to the first objective that the job can still meet: its deadline,
   * a multiple of it, or a start or completion within a time that the objectives of its class set.
   * Without such an objective it is {@link #slackS} for a job without a deadline, and empty for a
   * job with one. An objective that the job would miss by a little counts as one that it can meet,
   * as estimates may be wrong by half.
   */
  OptionalDouble remainingSlackS(Job job, long wallMs) {
    double runS = estimates.estimatedRuntimeS(job);
    double waitedS = waitedS(job, wallMs);
    OptionalDouble startByS =
        objectives.startByS(job, runS, waitedS - ESTIMATE_ERROR * runS - LATE_MARGIN_S);
    if (startByS.isPresent()) {
      return OptionalDouble.of(startByS.getAsDouble() - waitedS);
    }
    return job.deadlineS().isPresent()
        ? OptionalDouble.empty()
        : OptionalDouble.of(slackS(job, wallMs));
  }
}
