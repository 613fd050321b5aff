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

/** How many cores jobs need so that their work is done in time. */
final class CoreDemand {
  /** Part of the time left in which machines of any price are to finish the work. */
  private static final double WINDOW = 0.5;

  /** The same for expensive machines: they are added only for work that is late without them. */
  private static final double EXPENSIVE_WINDOW = 0.85;

  /** Part of the time left until the last start, for machines that are not expensive. */
  private static final double START_WINDOW = 0.7;

  /** A running task has at least this part of its estimate left. */
  private static final double MIN_REMAINING = 0.1;

  /**
   * The cores that a job needs, in thousandths.
   *
   * @param atAnyPrice what it needs even if only expensive machines are left
   */
  record Need(double cores, double atAnyPrice) {}

  private final TeamUsage teams;
  private final RuntimeEstimates estimates;
  private final ServiceLevelObjectives objectives;
  private final double drainS;

  /**
   * @param drainS in how many seconds work that should not wait is to be done
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

  /** How many tasks of the job may start now, within its team's limit. */
  int startableTasks(Job job, long nowMs) {
    int withinLimit = teams.tasksWithinLimit(job.team(), job.perTask());
    return Math.min(job.schedulableTasks(nowMs), withinLimit);
  }

  /**
   * The cores that finish the job's work within its window.
   *
   * @param guaranteed whether its team's guarantee covers the job
   */
  Need need(Job job, boolean guaranteed, long nowMs, long wallMs) {
    double each = job.perTask().cores();
    int startable = startableTasks(job, nowMs);
    int tasks = startable + job.activePlacements().size();
    if (job.spec().kind() != JobKind.BATCH) {
      return new Need(each * tasks, each * tasks);
    }
    double runS = Math.max(1, estimates.runS(job));
    double remainingS = startable * runS;
    for (Placement placement : job.activePlacements()) {
      double ranS = RuntimeEstimates.ranS(placement, nowMs);
      remainingS += Math.max(runS * MIN_REMAINING, runS - ranS);
    }
    double windowS = Math.max(runS, windowS(job, guaranteed, wallMs, false));
    double expensiveWindowS = Math.max(runS, windowS(job, guaranteed, wallMs, true));
    return new Need(
        each * Math.min(tasks, remainingS / windowS),
        each * Math.min(tasks, remainingS / expensiveWindowS));
  }

  /**
   * In how many seconds a job's work should be done. What its team's guarantee covers, and what has
   * no deadline, is served as fast as can be. Other work may take a part of the time it has left;
   * the rest is for estimates that are wrong. Expensive machines are requested only for what would
   * be late without them: work that can wait waits for cheap ones.
   */
  private double windowS(Job job, boolean guaranteed, long wallMs, boolean expensive) {
    if (guaranteed || job.deadlineS().isEmpty()) {
      return drainS;
    }
    double waitedS = PendingJobOrder.waitedS(job, wallMs);
    double leftS = job.deadlineS().getAsDouble() - waitedS;
    double part = expensive ? EXPENSIVE_WINDOW : WINDOW;
    double windowS = leftS < drainS ? leftS : Math.max(drainS, leftS * part);
    OptionalDouble lastStartS = objectives.lastStartS(job);
    double startLeftS = lastStartS.orElse(0) - waitedS;
    if (startLeftS > 0 && !job.pendingTasks().isEmpty()) {
      // The last tasks start when all others have run: one run before the work is done.
      double startPart = expensive ? EXPENSIVE_WINDOW : START_WINDOW;
      double startedS = startLeftS * startPart + estimates.runS(job);
      windowS = Math.min(windowS, Math.max(drainS, startedS));
    }
    return windowS;
  }

  /** Jobs that their team's guarantee covers together with the team's earlier unfinished ones. */
  Set<Job> guaranteed(Collection<Job> jobs, long nowMs) {
    Set<Job> covered = new HashSet<>();
    Map<Integer, Resources> requiredByTeam = new HashMap<>();
    jobs.stream()
        .filter(job -> !job.isTerminal() && !job.blockedOnDependencies())
        .sorted(Comparator.comparingLong(Job::eligibleSinceWallMs).thenComparing(Job::uid))
        .forEach(
            job -> {
              Resources ofTeam =
                  requiredByTeam.merge(job.team(), required(job, nowMs), Resources::plus);
              if (teams.guarantees(job.team(), ofTeam)) {
                covered.add(job);
              }
            });
    return covered;
  }

  /**
   * What the job's unfinished tasks require; a job that fails everywhere must not use it all up.
   */
  private static Resources required(Job job, long nowMs) {
    long tasks =
        job.isKnownToRun(nowMs)
            ? job.spec().tasks() - job.completedTasks().size()
            : Math.max(1, job.activePlacements().size());
    return new Resources(job.perTask().cores() * tasks, job.perTask().accelerators() * tasks, 0);
  }
}
