package org.ploverspindle.placement;

import java.util.Collection;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;

/**
 * How much work can be done within a given time in addition to the tasks that run now. The times at
 * which cores become free are rounded up to steps that are far smaller than the errors of runtime
 * estimates. One pass over the placements is then enough, without sorting them: a large fleet has
 * tens of thousands of placements.
 */
final class Capacity {
  private static final double STEP_S = 0.25;
  private static final int STEPS = 4_800;

  /** By step, the cores that are free at its end, in thousandths. */
  private final double[] freeCores = new double[STEPS + 1];

  /**
   * By step, the sum over the cores that are free at its end of the seconds until each becomes
   * free, in thousandths of core seconds.
   */
  private final double[] unavailableCoreSeconds = new double[STEPS + 1];

  /**
   * Computes the capacity of all schedulable machines.
   *
   * @param heartbeatTimeoutMs a machine whose last heartbeat is older than this does not count
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
   * Computes the capacity within a team's limit: the unused cores of the limit, and the cores that
   * become free when the team's running tasks end.
   *
   * @param unusedCores the unused cores of the limit, in thousandths
   */
  Capacity(Collection<Job> jobsOfTeam, long unusedCores, RuntimeEstimates estimates, long nowMs) {
    add(unusedCores, 0);
    for (Job job : jobsOfTeam) {
      for (Placement placement : job.activePlacements()) {
        add(job.perTask().cores(), estimates.remainingS(placement, nowMs));
      }
    }
    accumulate();
  }

  private void accumulate() {
    for (int i = 1; i <= STEPS; i++) {
      freeCores[i] += freeCores[i - 1];
      unavailableCoreSeconds[i] += unavailableCoreSeconds[i - 1];
    }
  }

  /**
   * Adds cores that become free after a time. Cores that become free after the last step do not
   * count, such as those of a service, which runs until it is cancelled.
   */
  private void add(double freedCores, double afterS) {
    int step = (int) Math.ceil(afterS / STEP_S);
    if (step <= STEPS) {
      freeCores[step] += freedCores;
      unavailableCoreSeconds[step] += freedCores * afterS;
    }
  }

  /** Returns the work that can be done within a time, in thousandths of core seconds. */
  double coreSecondsWithin(double seconds) {
    int step = (int) Math.min(STEPS, Math.floor(seconds / STEP_S));
    return freeCores[step] * seconds - unavailableCoreSeconds[step];
  }
}
