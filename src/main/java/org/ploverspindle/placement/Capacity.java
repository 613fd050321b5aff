package org.ploverspindle.placement;

import java.util.Collection;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;

/**
 * How much work can be done within a time, beside what runs now. The times at which cores become
 * free are kept in steps, far finer than any estimate is right, so that one pass over the
 * placements is enough, without sorting: a large fleet has tens of thousands.
 */
final class Capacity {
  private static final double STEP_S = 0.25;
  private static final int STEPS = 4_800;

  /** Cores that are free at the end of step i, in thousandths. */
  private final double[] cores = new double[STEPS + 1];

  /** The sum, over these cores, of the seconds until each becomes free. */
  private final double[] coreSeconds = new double[STEPS + 1];

  /**
   * The capacity of all machines that take tasks.
   *
   * @param heartbeatTimeoutMs a machine without a heartbeat for longer does not count
   */
  Capacity(MachineRegistry fleet, RuntimeEstimates estimates, long nowMs, long heartbeatTimeoutMs) {
    for (Machine machine : fleet.all()) {
      if (machine.isSchedulable(nowMs, heartbeatTimeoutMs)) {
        add(machine.free().cores(), 0);
        for (Placement placement : machine.placements()) {
          add(placement.job().perTask().cores(), estimates.remainingS(placement, nowMs));
        }
      }
    }
    accumulate();
  }

  /**
   * The capacity within a team's limit: what the limit leaves, and what its own tasks free.
   *
   * @param free what the limit leaves now, in thousandths of cores
   */
  Capacity(Collection<Job> jobsOfTeam, long free, RuntimeEstimates estimates, long nowMs) {
    add(free, 0);
    for (Job job : jobsOfTeam) {
      for (Placement placement : job.activePlacements()) {
        add(job.perTask().cores(), estimates.remainingS(placement, nowMs));
      }
    }
    accumulate();
  }

  private void accumulate() {
    for (int i = 1; i <= STEPS; i++) {
      cores[i] += cores[i - 1];
      coreSeconds[i] += coreSeconds[i - 1];
    }
  }

  /** Cores that become free after the last step, as a service's do, do not count. */
  private void add(double freedCores, double afterS) {
    int step = (int) Math.ceil(afterS / STEP_S);
    if (step <= STEPS) {
      cores[step] += freedCores;
      coreSeconds[step] += freedCores * afterS;
    }
  }

  /** Core seconds, in thousandths of cores, that can be done within the time. */
  double within(double seconds) {
    int step = (int) Math.min(STEPS, Math.floor(seconds / STEP_S));
    return cores[step] * seconds - coreSeconds[step];
  }
}
