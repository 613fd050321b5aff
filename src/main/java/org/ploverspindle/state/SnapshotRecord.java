package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ploverspindle.net.Cbor;

/**
 * The progress snapshot of a shard, which is a run of a job's tasks. It is encoded as compact text,
 * because the state service may limit values to a few kilobytes.
 *
 * @param completed the tasks that have completed
 * @param placements the last placements of tasks
 * @param running the number of tasks that are placed on machines, for display
 * @param lastCoveredSequence the sequence number of the last progress log record that the snapshot
 *     covers. Records with higher sequence numbers are newer than the snapshot. 0 in snapshots of
 *     versions without a progress log.
 */
public record SnapshotRecord(
    BitSet completed, List<RecordedPlacement> placements, int running, long lastCoveredSequence) {

  /**
   * The description of a machine that a new leader needs before the machine sends a heartbeat to it
   * or the cloud lists the machine.
   */
  public record MachineInfo(String id, String type, String zone, boolean spot) {}

  /** A placement of a task. It is recorded before the launch command is sent to the worker. */
  public record RecordedPlacement(int task, long attempt, MachineInfo machine, long workerEpoch) {}

  /**
   * Upper bound of the bytes of a placement whose machine has no other placement in the snapshot,
   * for names of usual length.
   */
  private static final int MAX_PLACEMENT_BYTES = 100;

  /** Upper bound of the bytes of a snapshot without its placements. */
  private static final int MAX_OVERHEAD_BYTES = 250;

  /**
   * The largest size of a snapshot, even if the state service accepts larger values, so that
   * several records fit into one transaction.
   */
  private static final int MAX_VALUE_BYTES = 16 * 1024;

  private static final int MIN_SHARD_SIZE = 8;

  private static final int MACHINE_FIELD_COUNT = 4;
  private static final int MACHINE_SPOT_FIELD = 3;

  /**
   * Returns the largest number of tasks in a shard whose snapshot always fits into a value, for
   * names of usual length. The result is never less than the minimum shard size, even if the value
   * is too small for it.
   */
  public static int maxShardSize(int maxValueBytes) {
    int bytesForPlacements = Math.min(maxValueBytes, MAX_VALUE_BYTES) - MAX_OVERHEAD_BYTES;
    return Math.max(MIN_SHARD_SIZE, bytesForPlacements / MAX_PLACEMENT_BYTES);
  }

  /** Returns the stored form with the counts of the whole job, which are only displayed. */
  public JsonNode encode(int jobCompleted, int jobRunning) {
    ObjectNode value = encode();
    value.put("job_done", jobCompleted);
    value.put("job_running", jobRunning);
    return value;
  }

  /** Returns the stored form without the counts of the whole job. */
  public ObjectNode encode() {
    Map<MachineInfo, Integer> machines = new LinkedHashMap<>();
    StringBuilder placementsText = new StringBuilder();
    for (RecordedPlacement placement : placements) {
      int machine = machines.computeIfAbsent(placement.machine(), m -> machines.size());
      placementsText.append(placementsText.isEmpty() ? "" : ",").append(placement.task());
      PlacementText.appendDetails(placementsText, placement, machine);
    }
    ObjectNode value = Cbor.map();
    value.put("n", completed.cardinality());
    value.put("r", running);
    value.put("upto", lastCoveredSequence);
    value.put("done", TaskRanges.of(completed).toString());
    value.put("live", placementsText.toString());
    ArrayNode hosts = value.putArray("hosts");
    for (MachineInfo machine : machines.keySet()) {
      hosts.add(machine.id() + "," + PlacementText.machineGroup(machine));
    }
    return value;
  }

  /** Decodes a record; empty if it is malformed. */
  public static Optional<SnapshotRecord> decode(JsonNode value) {
    if (!value.path("done").isTextual() || !value.path("live").isTextual()) {
      return Optional.empty();
    }
    try {
      BitSet completed = TaskRanges.parse(value.path("done").asText()).toBitSet();
      List<MachineInfo> machines = decodeMachines(value.path("hosts"));
      List<RecordedPlacement> placements = decodePlacements(value.path("live").asText(), machines);
      return Optional.of(
          new SnapshotRecord(
              completed, placements, value.path("r").asInt(), value.path("upto").asLong(0)));
    } catch (NumberFormatException | IndexOutOfBoundsException e) {
      return Optional.empty();
    }
  }

  private static List<MachineInfo> decodeMachines(JsonNode hosts) {
    List<MachineInfo> machines = new ArrayList<>();
    for (JsonNode host : hosts) {
      String[] fields = host.asText().split(",", -1);
      requireFields(fields, MACHINE_FIELD_COUNT);
      machines.add(
          new MachineInfo(
              fields[0], fields[1], fields[2], PlacementText.isSpot(fields[MACHINE_SPOT_FIELD])));
    }
    return machines;
  }

  private static List<RecordedPlacement> decodePlacements(String text, List<MachineInfo> machines) {
    List<RecordedPlacement> placements = new ArrayList<>();
    for (String item : TaskRanges.items(text)) {
      String[] fields = PlacementText.fields(item);
      requireFields(fields, PlacementText.FIELD_COUNT);
      int task = Integer.parseInt(fields[PlacementText.TASK]);
      placements.add(
          PlacementText.placement(task, PlacementText.attempt(fields), fields, machines));
    }
    return placements;
  }

  private static void requireFields(String[] fields, int count) {
    if (fields.length != count) {
      throw new IndexOutOfBoundsException(
          fields.length + " fields in a stored placement or machine, expected " + count);
    }
  }
}
