package org.ploverspindle.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.Resources;

/** Computes how many cores jobs need so that their work is done in time. */
final class CoreDemand {
  /**
   * Fraction of the time left until a job's deadline in which its work should finish. Machines that
   * are not expensive are added until it does.
   */
  private static final double FINISH_FRACTION = 0.5;

  /**
   * Fraction of the time left, until the deadline or the last start, that applies to expensive
   * machines. It is larger, as these are added only for work that would be late without them.
   */
  private static final double EXPENSIVE_FRACTION = 0.85;

  /**
   * Fraction of the time left until a job's last task should have started in which it should start.
   * Machines that are not expensive are added until it does.
   */
  private static final double START_FRACTION = 0.7;

  /** A running task is assumed to have at least this fraction of its estimated runtime left. */
  private static final double MIN_REMAINING_FRACTION = 0.1;

  /**
   * The cores that a job needs, in thousandths.
   *
   * @param cores the cores that it needs as long as they are not expensive
   * @param coresAtAnyPrice the cores that it needs even if only expensive machines are left
   */
  record Need(double cores, double coresAtAnyPrice) {}

  private final TeamUsage teams;
  private final RuntimeEstimates estimates;
  private final ServiceLevelObjectives objectives;
  private final double drainS;

  /**
   * @param drainS the time in seconds within which work that should not wait is to be done
   */
  CoreDemand(
      TeamUsage teams,
      RuntimeEstimates estimates,
      ServiceLevelObjectives objectives,
      double drainS) {
    this.teams = teams;
    this.estimates = estimates;
    this.objectives = objectives;
    this.drainS = drainS;
  }

  /** Returns how many tasks of the job may start now within its team's limit. */
  int startableTasks(Job job, long nowMs) {
    int withinLimit = teams.tasksWithinLimit(job.team(), job.perTask());
    return Math.min(job.schedulableTasks(nowMs), withinLimit);
  }

  /**
   * Returns the cores with which the job's running and startable tasks finish in the time that
   * {@link #windowS} gives. A gang or a service needs the cores of all these tasks.
   *
   * @param guaranteed whether its team's guarantee covers the job
   */
  Need need(Job job, boolean guaranteed, long nowMs, long wallMs) {
    double coresPerTask = job.perTask().cores();
    int startable = startableTasks(job, nowMs);
    int tasks = startable + job.activePlacements().size();
    if (job.spec().kind() != JobKind.BATCH) {
      return new Need(coresPerTask * tasks, coresPerTask * tasks);
    }
    double runS = Math.max(1, estimates.estimatedRuntimeS(job));
    double remainingS = startable * runS;
    for (Placement placement : job.activePlacements()) {
      double runningForS = RuntimeEstimates.runningForS(placement, nowMs);
      remainingS += Math.max(runS * MIN_REMAINING_FRACTION, runS - runningForS);
    }
    double windowS = Math.max(runS, windowS(job, guaranteed, wallMs, false));
    double expensiveWindowS = Math.max(runS, windowS(job, guaranteed, wallMs, true));
    return new Need(
        coresPerTask * Math.min(tasks, remainingS / windowS),
        coresPerTask * Math.min(tasks, remainingS / expensiveWindowS));
  }

  /**
   * Returns the time in seconds in which a job's work should be done. Work that is covered by its
   * team's guarantee or has no deadline should be done within {@link #drainS}. Other work may take
   * a fraction of the time that it has left; the rest is a margin for wrong estimates. Expensive
   * machines are requested only for work that would be late without them, while other work waits
   * for cheap ones.
   *
   * @param expensive whether the time is used to decide on requests for expensive machines
   */
  private double windowS(Job job, boolean guaranteed, long wallMs, boolean expensive) {
    if (guaranteed || job.deadlineS().isEmpty()) {
      return drainS;
    }
    double waitedS = PendingJobOrder.waitedS(job, wallMs);
    double untilDeadlineS = job.deadlineS().getAsDouble() - waitedS;
    double finishFraction = expensive ? EXPENSIVE_FRACTION : FINISH_FRACTION;
    double windowS =
        untilDeadlineS < drainS
            ? untilDeadlineS
            : Math.max(drainS, untilDeadlineS * finishFraction);
    OptionalDouble lastStartS = objectives.lastTaskStartByS(job);
    double untilLastStartS = lastStartS.orElse(0) - waitedS;
    if (untilLastStartS > 0 && !job.pendingTasks().isEmpty()) {
      // The last tasks start when all others have run, which is one task's runtime before the work
      // is done.
      double startFraction = expensive ? EXPENSIVE_FRACTION : START_FRACTION;
      double startWindowS = untilLastStartS * startFraction + estimates.estimatedRuntimeS(job);
      windowS = Math.min(windowS, Math.max(drainS, startWindowS));
    }
    return windowS;
  }

  /**
   * Returns the jobs that their team's guarantee covers. A job is covered if the guarantee is large
   * enough for it together with the team's unfinished jobs that became eligible to run before it.
   */
  Set<Job> guaranteedJobs(Collection<Job> jobs, long nowMs) {
    Set<Job> covered = new HashSet<>();
    Map<Integer, Resources> requiredByTeam = new HashMap<>();
    jobs.stream()
        .filter(job -> !job.isTerminal() && !job.blockedOnDependencies())
        .sorted(Comparator.comparingLong(Job::eligibleSinceWallMs).thenComparing(Job::uid))
        .forEach(
            job -> {
              Resources requiredSoFar =
                  requiredByTeam.merge(job.team(), requiredResources(job, nowMs), Resources::plus);
              if (teams.guaranteeCovers(job.team(), requiredSoFar)) {
                covered.add(job);
              }
            });
    return covered;
  }

  /**
   * Returns the cores and accelerators that the job's unfinished tasks require. A job that fails on
   * every machine must not use up its team's guarantee, so of a job that is not known to run only
   * the placed tasks count, and at least one task.
   */
  private static Resources requiredResources(Job job, long nowMs) {
    long tasks =
        job.isKnownToRun(nowMs)
            ? job.spec().tasks() - job.completedTasks().size()
            : Math.max(1, job.activePlacements().size());
    return new Resources(job.perTask().cores() * tasks, job.perTask().accelerators() * tasks, 0);
  }
}
