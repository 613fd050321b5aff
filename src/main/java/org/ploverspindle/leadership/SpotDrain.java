package org.ploverspindle.leadership;

import java.util.List;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.placement.RuntimeEstimates;

/**
 * Decides which tasks are stopped on a spot machine that the cloud reclaims. A task that is not
 * expected to end in time is stopped, so that it writes a checkpoint, or at least starts again on
 * another machine without waiting for the worker lease to expire.
 */
final class SpotDrain {
  /**
   * A task is not stopped if it is expected to end more than this many seconds before the machine
   * is reclaimed.
   */
  private static final double COMPLETION_MARGIN_S = 1;

  /**
   * Seconds that are added to the cost of a checkpoint, for the command to arrive and the result to
   * be stored.
   */
  private static final double CHECKPOINT_MARGIN_S = 0.5;

  /** A checkpoint may take this many times its expected cost, if the spot notice allows it. */
  private static final double CHECKPOINT_GRACE_FACTOR = 2;

  /**
   * A task that can't write a checkpoint in time is stopped only if its expected remaining time is
   * more than this many times the time until the machine is reclaimed, as estimates are inexact.
   */
  private static final double STOP_WITHOUT_CHECKPOINT_RATIO = 1.5;

  private static final double MS_PER_S = 1_000;

  private final RuntimeEstimates estimates;

  SpotDrain(RuntimeEstimates estimates) {
    this.estimates = estimates;
  }

  /**
   * Stops the tasks of the machine that will not end in time. Called for each heartbeat with the
   * spot notice; tasks that are already stopping are skipped.
   */
  void drain(Machine machine, long nowMs) {
    double noticeS = machine.spotNoticeS();
    for (Placement placement : List.copyOf(machine.placements())) {
      if (!placement.isStopping()) {
        stopUnlessEndingInTime(placement, noticeS, nowMs);
      }
    }
  }

  private void stopUnlessEndingInTime(Placement placement, double noticeS, long nowMs) {
    double remainingS = remainingS(placement, nowMs);
    if (remainingS < noticeS - COMPLETION_MARGIN_S) {
      return;
    }
    JobSpec spec = placement.job().spec();
    double checkpointS = spec.checkpointCostS();
    if (spec.isCheckpointed() && noticeS > checkpointS) {
      placement.requestStop(
          Math.max(
              checkpointS + CHECKPOINT_MARGIN_S,
              Math.min(noticeS, checkpointS * CHECKPOINT_GRACE_FACTOR)));
    } else if (remainingS > noticeS * STOP_WITHOUT_CHECKPOINT_RATIO) {
      placement.requestStop(0);
    }
  }

  /**
   * The expected remaining time of the task in seconds; {@link Double#MAX_VALUE} for a service,
   * which runs until it is cancelled.
   */
  private double remainingS(Placement placement, long nowMs) {
    if (placement.job().spec().expectedS() <= 0) {
      return Double.MAX_VALUE;
    }
    long runningSinceMs = placement.runningSinceMs();
    double elapsedS = runningSinceMs < 0 ? 0 : (nowMs - runningSinceMs) / MS_PER_S;
    return estimates.estimatedRuntimeS(placement.job()) - elapsedS;
  }
}
