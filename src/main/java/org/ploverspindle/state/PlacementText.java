package org.ploverspindle.state;

import java.util.List;
import org.ploverspindle.state.SnapshotRecord.MachineInfo;
import org.ploverspindle.state.SnapshotRecord.RecordedPlacement;

/**
 * Placements in text form, {@code task:attempt:machine:epoch}: the attempt in base 36, the machine
 * as an index into the machines of the same record.
 */
final class PlacementText {
  /** How many fields the text form has. */
  static final int FIELD_COUNT = 4;

  /** Number of the field with the task, or with a range of tasks. */
  static final int TASK = 0;

  private static final int ATTEMPT = 1;
  private static final int MACHINE = 2;
  private static final int AGENT_EPOCH = 3;
  private static final int ATTEMPT_RADIX = 36;

  private static final String SPOT = "spot";
  private static final String ON_DEMAND = "ordinary";

  private PlacementText() {}

  /** Appends what follows the task. */
  static void appendDetails(StringBuilder text, RecordedPlacement placement, int machineIndex) {
    text.append(':').append(Long.toString(placement.attempt(), ATTEMPT_RADIX));
    text.append(':').append(machineIndex);
    text.append(':').append(placement.agentEpoch());
  }

  static String[] fields(String text) {
    return text.split(":", -1);
  }

  /**
   * The attempt in these fields.
   *
   * @throws NumberFormatException if it is not a number
   */
  static long attempt(String[] fields) {
    return Long.parseLong(fields[ATTEMPT], ATTEMPT_RADIX);
  }

  /**
   * The placement of a task and attempt on the machine in these fields.
   *
   * @throws NumberFormatException if a field is not a number
   * @throws IndexOutOfBoundsException if a field is missing, or there is no such machine
   */
  static RecordedPlacement placement(
      int task, long attempt, String[] fields, List<MachineInfo> machines) {
    return new RecordedPlacement(
        task,
        attempt,
        machines.get(Integer.parseInt(fields[MACHINE])),
        Long.parseLong(fields[AGENT_EPOCH]));
  }

  /** The text form of a machine's type, zone and whether it is a spot machine. */
  static String machineGroup(MachineInfo machine) {
    return machine.type() + "," + machine.zone() + "," + (machine.spot() ? SPOT : ON_DEMAND);
  }

  static boolean isSpot(String text) {
    return text.equals(SPOT);
  }
}
