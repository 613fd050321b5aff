package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;

/**
 * Reserves a share of the cores for jobs that have waited for a long time. {@link AdmissionOrder}
 * serves jobs that can be in time first. Under a lasting overload, the jobs that it puts last would
 * never start, above all the largest ones, nor would jobs of a low priority if the work of a higher
 * one never ends.
 */
final class StarvationProtection {
  /** A job of which no task has begun is starving when it has waited for longer than this. */
  private static final long STARVING_MS = 90_000;

  /** A job of which tasks have begun may use the share when it has waited for longer than this. */
  private static final long LONG_WAIT_MS = 180_000;

  /** Fraction of all cores that is reserved for these jobs. */
  private static final double RESERVED_FRACTION = 0.2;

  /** A starving job first starts one task plus the number of its tasks divided by this. */
  private static final int FIRST_TASKS_DIVISOR = 8;

  private final MachineRegistry fleet;
  private final RuntimeEstimates estimates;
  private final TaskPlacer placer;
  private final long heartbeatTimeoutMs;

  /** Placements that use the share. */
  private final List<Placement> placements = new ArrayList<>();

  StarvationProtection(
      MachineRegistry fleet,
      RuntimeEstimates estimates,
      TaskPlacer placer,
      long heartbeatTimeoutMs) {
    this.fleet = fleet;
    this.estimates = estimates;
    this.placer = placer;
    this.heartbeatTimeoutMs = heartbeatTimeoutMs;
  }

  /** True when the job has waited for a long time and no task of it has begun. */
  static boolean isStarving(Job job, long wallMs) {
    return job.activePlacements().isEmpty()
        && job.completedTasks().isEmpty()
        && wallMs - job.eligibleSinceWallMs() > STARVING_MS;
  }

  /**
   * Places tasks of jobs that have waited for a long time, within the reserved share. Starving jobs
   * come first, those with the most work before the others, as admission puts these last. The other
   * jobs follow, those that have waited longest first.
   */
  void run(List<Job> pending, List<Machine> machinesWithFreeCores, long nowMs, long wallMs) {
    List<Job> longWaiting = longWaitingJobs(pending, wallMs);
    if (longWaiting.isEmpty()) {
      return;
    }
    placements.removeIf(
        placement -> placement.job().activePlacement(placement.task()) != placement);
    double freeCores = freeReservedCores(nowMs);
    for (Job job : longWaiting) {
      double coresPerTask = Math.max(1, job.perTask().cores());
      int maxTasks = maxTasks(job, freeCores / coresPerTask, wallMs);
      if (maxTasks > 0) {
        List<Placement> placed = placer.place(job, machinesWithFreeCores, nowMs, maxTasks);
        placements.addAll(placed);
        freeCores -= placed.size() * coresPerTask;
      }
    }
  }

  private List<Job> longWaitingJobs(List<Job> pending, long wallMs) {
    List<Job> waiting = new ArrayList<>();
    for (Job job : pending) {
      if (isStarving(job, wallMs) || wallMs - job.eligibleSinceWallMs() > LONG_WAIT_MS) {
        waiting.add(job);
      }
    }
    waiting.sort(
        Comparator.comparing((Job job) -> !isStarving(job, wallMs))
            .thenComparingDouble(
                job -> isStarving(job, wallMs) ? -work(job) : job.eligibleSinceWallMs())
            .thenComparing(Job::uid));
    return waiting;
  }

  /** Returns the estimated work of all the job's tasks, in thousandths of core seconds. */
  private double work(Job job) {
    return job.spec().tasks() * job.perTask().cores() * estimates.estimatedRuntimeS(job);
  }

  /** Returns the cores of the share that no placement uses, in thousandths. */
  private double freeReservedCores(long nowMs) {
    double cores = 0;
    for (Machine machine : fleet.all()) {
      cores +=
          machine.isSchedulable(nowMs, heartbeatTimeoutMs)
              ? machine.size().cores() * RESERVED_FRACTION
              : 0;
    }
    for (Placement placement : placements) {
      cores -= placement.job().perTask().cores();
    }
    return cores;
  }

  private int maxTasks(Job job, double tasksWithinShare, long wallMs) {
    int maxTasks = (int) Math.min(Integer.MAX_VALUE, tasksWithinShare);
    if (placements.isEmpty()) {
      maxTasks = Math.max(1, maxTasks);
    }
    if (isStarving(job, wallMs)) {
      maxTasks = Math.min(maxTasks, 1 + job.spec().tasks() / FIRST_TASKS_DIVISOR);
    }
    return maxTasks;
  }
}
