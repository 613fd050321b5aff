package org.ploverspindle.state;

import java.util.List;
import org.ploverspindle.state.SnapshotRecord.MachineInfo;
import org.ploverspindle.state.SnapshotRecord.RecordedPlacement;

/**
 * The text form of placements in stored records, {@code task:attempt:machine:epoch}. The attempt is
 * written in base 36. The machine is an index into the list of machines in the same record. The
 * epoch is the worker epoch.
 */
final class PlacementText {
  /** The number of fields in the text form of a placement. */
  static final int FIELD_COUNT = 4;

  /** The index of the field that contains the task, or a range of tasks. */
  static final int TASK = 0;

  private static final int ATTEMPT = 1;
  private static final int MACHINE = 2;
  private static final int WORKER_EPOCH = 3;
  private static final int ATTEMPT_RADIX = 36;

  private static final String SPOT = "spot";
  private static final String ON_DEMAND = "ordinary";

  private PlacementText() {}

  /** Appends the attempt, machine and worker epoch of a placement, which follow the task. */
  static void appendDetails(StringBuilder text, RecordedPlacement placement, int machineIndex) {
    text.append(':').append(Long.toString(placement.attempt(), ATTEMPT_RADIX));
    text.append(':').append(machineIndex);
    text.append(':').append(placement.workerEpoch());
  }

  static String[] fields(String text) {
    return text.split(":", -1);
  }

  /**
   * Returns the attempt in these fields.
   *
   * @throws NumberFormatException if the field is not a number in base 36
   */
  static long attempt(String[] fields) {
    return Long.parseLong(fields[ATTEMPT], ATTEMPT_RADIX);
  }

  /**
   * Returns the placement of this task and attempt on the machine in these fields.
   *
   * @throws NumberFormatException if a field is not a number
   * @throws IndexOutOfBoundsException if a field is missing, or the list has no machine with this
   *     index
   */
  static RecordedPlacement placement(
      int task, long attempt, String[] fields, List<MachineInfo> machines) {
    return new RecordedPlacement(
        task,
        attempt,
        machines.get(Integer.parseInt(fields[MACHINE])),
        Long.parseLong(fields[WORKER_EPOCH]));
  }

  /** Returns the text form of a machine's group: its type, its zone, and spot or on-demand. */
  static String machineGroup(MachineInfo machine) {
    return machine.type() + "," + machine.zone() + "," + (machine.spot() ? SPOT : ON_DEMAND);
  }

  static boolean isSpot(String text) {
    return text.equals(SPOT);
  }
}
