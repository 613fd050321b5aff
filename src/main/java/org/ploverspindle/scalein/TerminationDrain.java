package org.ploverspindle.scalein;

import java.util.List;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.JobSpec;

/**
 * Drains a machine whose termination is recorded and that has tasks all the same: they were placed
 * by a leader of a version that does not know these records, or the machine's heartbeats stopped
 * and began again.
 */
final class TerminationDrain {
  /** Added to what a checkpoint takes, for the stop to arrive and the checkpoint to be stored. */
  private static final double CHECKPOINT_MARGIN_S = 0.5;

  private TerminationDrain() {}

  /** Stops all tasks that are not stopping yet, with time for a checkpoint where they write one. */
  static void drain(Machine machine) {
    for (Placement placement : List.copyOf(machine.placements())) {
      if (!placement.isStopping()) {
        placement.stop(gracePeriodS(placement.job().spec()));
      }
    }
  }

  private static double gracePeriodS(JobSpec spec) {
    return spec.isCheckpointed() ? spec.checkpointCostS() + CHECKPOINT_MARGIN_S : 0;
  }
}
