package org.ploverspindle.leadership;

import java.util.List;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.placement.RuntimeEstimates;

/**
 * Decides what happens to the tasks of a spot machine that the cloud takes back: what can't end in
 * time is stopped, so that it saves its work, or at least starts again elsewhere without waiting
 * for the machine's lease to run out.
 */
final class SpotDrain {
  /** A task that is to end by itself must do so this long before the machine goes. */
  private static final double END_MARGIN_S = 1;

  /** Beyond what a save costs, for the order and the save to arrive. */
  private static final double CHECKPOINT_MARGIN_S = 0.5;

  /** A save that takes so much longer than expected still succeeds, if the notice allows it. */
  private static final double CHECKPOINT_GRACE_FACTOR = 2;

  /** Estimates err: a task that can't save is given up only when it is this far from its end. */
  private static final double GIVE_UP_RATIO = 1.5;

  private static final double MS_PER_S = 1_000;

  private final RuntimeEstimates estimates;

  SpotDrain(RuntimeEstimates estimates) {
    this.estimates = estimates;
  }

  /** Called with each report that shows the notice; what is stopping already is left alone. */
  void drain(Machine machine, long nowMs) {
    double noticeS = machine.spotNoticeS();
    for (Placement placement : List.copyOf(machine.placements())) {
      if (!placement.stopping()) {
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

  /** How long the task is expected to run on; for ever if it is a service. */
  private double remainingS(Placement placement, long nowMs) {
    if (placement.job().spec().expectedS() <= 0) {
      return Double.MAX_VALUE;
    }
    long sinceMs = placement.runningSinceMs();
    double ranS = sinceMs < 0 ? 0 : (nowMs - sinceMs) / MS_PER_S;
    return estimates.runS(placement.job()) - ranS;
  }
}
