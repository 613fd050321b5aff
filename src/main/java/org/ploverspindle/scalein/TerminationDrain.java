package org.ploverspindle.scalein;

import java.util.List;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.JobSpec;

/**
 * Empties a machine whose return is recorded and that has tasks all the same: a leader of a version
 * that does not know these records placed them, or the machine was taken for gone and came back.
 */
final class TerminationDrain {
  /** Beyond what a save costs, for the order and the save to arrive. */
  private static final double SAVE_MARGIN_S = 0.5;

  private TerminationDrain() {}

  /** Has each task stop, saving its progress where it can; what is stopping is left alone. */
  static void drain(Machine machine) {
    for (Placement placement : List.copyOf(machine.placements())) {
      if (!placement.stopping()) {
        JobSpec spec = placement.job().spec();
        placement.stop(spec.isCheckpointed() ? spec.checkpointCostS() + SAVE_MARGIN_S : 0);
      }
    }
  }
}
