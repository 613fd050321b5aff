package org.ploverspindle.leadership;

import java.util.List;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.placement.RuntimeEstimates;

/**
 * Decides what happens to the tasks of a spot machine that the cloud reclaims: a task that can't
 * end in time is stopped, so that it writes a checkpoint, or at least starts again elsewhere
 * without waiting for the worker's lease to expire.
 */
final class SpotDrain {
  /** A task that is left to end by itself must do so this long before the machine is reclaimed. */
  private static final double END_MARGIN_S = 1;

  /** Beyond the cost of a checkpoint, for the command to arrive and the result to be stored. */
  private static final double CHECKPOINT_MARGIN_S = 0.5;

  /** A checkpoint may take so many times its expected cost, if the notice is long enough. */
  private static final double CHECKPOINT_GRACE_FACTOR = 2;

  /** Estimates err: a task without checkpoints is stopped only this far from its expected end. */
  private static final double GIVE_UP_RATIO = 1.5;

  private static final double MS_PER_S = 1_000;

  private final RuntimeEstimates estimates;

  SpotDrain(RuntimeEstimates estimates) {
    this.estimates = estimates;
  }

  /**
   * Called with each heartbeat that has the notice; tasks that are stopping already are skipped.
   */
  void drain(Machine machine, long nowMs) {
    double noticeS = machine.spotNoticeS();
    for (Placement placement : List.copyOf(machine.placements())) {
      if (!placement.isStopping()) {
        stopIfLate(placement, noticeS, nowMs);
      }
    }
  }

  private void stopIfLate(Placement placement, double noticeS, long nowMs) {
    double remainingS = remainingS(placement, nowMs);
    if (remainingS < noticeS - END_MARGIN_S) {
      return;
    }
    JobSpec spec = placement.job().spec();
    double checkpointS = spec.checkpointCostS();
    if (spec.isCheckpointed() && noticeS > checkpointS) {
      placement.stop(
          Math.max(
              checkpointS + CHECKPOINT_MARGIN_S,
              Math.min(noticeS, checkpointS * CHECKPOINT_GRACE_FACTOR)));
    } else if (remainingS > noticeS * GIVE_UP_RATIO) {
      placement.stop(0);
    }
  }

  /** How long the task is expected to run on; without end for a service. */
  private double remainingS(Placement placement, long nowMs) {
    if (placement.job().spec().expectedS() <= 0) {
      return Double.MAX_VALUE;
    }
    long sinceMs = placement.runningSinceMs();
    double ranS = sinceMs < 0 ? 0 : (nowMs - sinceMs) / MS_PER_S;
    return estimates.runS(placement.job()) - ranS;
  }
}
