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
 * The progress snapshot of a shard of a job's tasks, packed as text since a value may hold only a
 * few kilobytes.
 *
 * @param completed the tasks that have completed
 * @param placements where tasks were last placed
 * @param running how many tasks are on machines, for display
 * @param coveredUpTo the last record of the progress log that the snapshot covers: later records
 *     are newer than the snapshot. 0 in snapshots of versions without a progress log.
 */
public record SnapshotRecord(
    BitSet completed, List<RecordedPlacement> placements, int running, long coveredUpTo) {

  /** What a new leader must know of a machine before the machine sends a heartbeat or is listed. */
  public record MachineInfo(String id, String type, String zone, boolean spot) {}

  /** A placement of a task; it is recorded before the launch command is sent. */
  public record RecordedPlacement(int task, long attempt, MachineInfo machine, long agentEpoch) {}

  /** Upper bound for a placement with a machine of its own, with usual names. */
  private static final int MAX_PLACEMENT_BYTES = 100;

  /** Upper bound for the rest of a snapshot. */
  private static final int MAX_OVERHEAD_BYTES = 250;

  /** Also where the state service allows more: several records should fit into a transaction. */
  private static final int MAX_VALUE_BYTES = 16 * 1024;

  private static final int MIN_SHARD_SIZE = 8;

  private static final int MACHINE_FIELD_COUNT = 4;
  private static final int MACHINE_SPOT_FIELD = 3;

  /** How many tasks a shard may have so that its snapshot always fits in a value. */
  public static int shardSizeFor(int maxValueBytes) {
    int bytesForPlacements = Math.min(maxValueBytes, MAX_VALUE_BYTES) - MAX_OVERHEAD_BYTES;
    return Math.max(MIN_SHARD_SIZE, bytesForPlacements / MAX_PLACEMENT_BYTES);
  }

  /** The stored form, with counts of the whole job for display. */
  public JsonNode encode(int jobCompleted, int jobRunning) {
    ObjectNode value = encode();
    value.put("job_done", jobCompleted);
    value.put("job_running", jobRunning);
    return value;
  }

  /** The stored form. */
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
    value.put("upto", coveredUpTo);
    value.put("done", TaskRanges.format(completed));
    value.put("live", placementsText.toString());
    ArrayNode hosts = value.putArray("hosts");
    for (MachineInfo machine : machines.keySet()) {
      hosts.add(machine.id() + "," + PlacementText.machineGroup(machine));
    }
    return value;
  }

  /** Decodes a record; empty if it is unreadable. */
  public static Optional<SnapshotRecord> decode(JsonNode value) {
    if (!value.path("done").isTextual() || !value.path("live").isTextual()) {
      return Optional.empty();
    }
    try {
      BitSet completed = TaskRanges.parse(value.path("done").asText());
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
      throw new IndexOutOfBoundsException(fields.length + " fields instead of " + count);
    }
  }
}
