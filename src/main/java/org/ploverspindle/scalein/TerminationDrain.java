package org.ploverspindle.scalein;

import java.util.List;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.JobSpec;

/**
 * Drains a machine that has tasks although its termination is recorded. This happens if a leader of
 * a version without termination records placed the tasks, or if the machine's heartbeats stopped
 * and began again.
 */
final class TerminationDrain {
  /**
   * Time in seconds that is added to the duration of a checkpoint, for the stop command to arrive
   * and for the checkpoint to be stored.
   */
  private static final double CHECKPOINT_MARGIN_S = 0.5;

  private TerminationDrain() {}

  /**
   * Stops all tasks that are not stopping yet. Tasks that write checkpoints get the time to write
   * one.
   */
  static void drain(Machine machine) {
    for (Placement placement : List.copyOf(machine.placements())) {
      if (!placement.isStopping()) {
        placement.requestStop(gracePeriodS(placement.job().spec()));
      }
    }
  }

  private static double gracePeriodS(JobSpec spec) {
    return spec.isCheckpointed() ? spec.checkpointCostS() + CHECKPOINT_MARGIN_S : 0;
  }
}
