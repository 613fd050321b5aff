package org.ploverspindle.placement;

import java.util.Collection;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;

/**
 * How much work the machines can take on within a time, beside what they run now. The times at
 * which cores come free are kept in steps of a quarter of a second, far finer than any estimate is
 * right, so that making it takes one look at each placement and no sorting: a large fleet has
 * twenty thousand.
 */
final class Capacity {
  private static final double STEP_S = 0.25;
  private static final int STEPS = 4_800;

  /**
   * Cores that come free before the end of step i, and the sum of cores times seconds till then.
   */
  private final double[] cores = new double[STEPS + 1];

  private final double[] coreSeconds = new double[STEPS + 1];

  Capacity(MachineRegistry fleet, RuntimeEstimates estimates, long nowMs, long silenceMs) {
    for (Machine m : fleet.all()) {
      if (m.isSchedulable(nowMs, silenceMs)) {
        add(m.free().cores(), 0);
        for (Placement p : m.placements()) {
          add(p.job().perTask().cores(), estimates.remainingS(p, nowMs));
        }
      }
    }
    sum();
  }

  /**
   * The same within a team's limit: what the limit leaves, and what its own tasks give back.
   *
   * @param room what it leaves now, in thousandths of cores
   */
  Capacity(Collection<Job> ofTeam, long room, RuntimeEstimates estimates, long nowMs) {
    add(room, 0);
    for (Job job : ofTeam) {
      for (Placement p : job.activePlacements()) {
        add(job.perTask().cores(), estimates.remainingS(p, nowMs));
      }
    }
    sum();
  }

  private void sum() {
    for (int i = 1; i <= STEPS; i++) {
      cores[i] += cores[i - 1];
      coreSeconds[i] += coreSeconds[i - 1];
    }
  }

  /** What comes free after the last step, as a replica's cores do, comes free for nobody. */
  private void add(double busyCores, double forS) {
    int step = (int) Math.ceil(forS / STEP_S);
    if (step <= STEPS) {
      cores[step] += busyCores;
      coreSeconds[step] += busyCores * forS;
    }
  }

  /** Core seconds, in thousandths of cores, that can be done within the time. */
  double within(double seconds) {
    int step = (int) Math.min(STEPS, Math.floor(seconds / STEP_S));
    return cores[step] * seconds - coreSeconds[step];
  }
}
