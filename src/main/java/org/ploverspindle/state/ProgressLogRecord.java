package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.SnapshotRecord.MachineInfo;
import org.ploverspindle.state.SnapshotRecord.RecordedPlacement;

/**
 * One record of the leader's progress log. It contains the current statuses of changed tasks of any
 * number of jobs. The rate of changes is the tightest limit of the state service, so one put writes
 * everything that happened since the last record. A record contains statuses and not events, so
 * that applying it again, or together with a newer snapshot, is idempotent.
 *
 * @param sequence the position in the log; a record with a higher sequence number is newer
 * @param id identifies the write of the record, so that two writes with the same sequence number
 *     can be told apart
 * @param deltas the changed statuses, one element per job
 */
public record ProgressLogRecord(long sequence, String id, List<Delta> deltas) {

  /**
   * The statuses of the changed tasks of a job. Each such task is completed, placed on a machine,
   * or neither.
   *
   * @param uid the id of the job
   * @param jobCompleted the number of completed tasks of the whole job, for display
   * @param jobRunning the number of tasks of the whole job that are placed on machines, for display
   * @param completed the changed tasks that are completed
   * @param cleared the changed tasks that are neither completed nor placed on a machine
   * @param placements the placements of the changed tasks that are placed on a machine
   */
  public record Delta(
      String uid,
      int jobCompleted,
      int jobRunning,
      TaskRanges completed,
      TaskRanges cleared,
      List<RecordedPlacement> placements) {}

  /**
   * The number of records that the log holds. A slot is overwritten only if the statuses in its
   * record that are still needed are carried over into the new record. A status is no longer needed
   * once a snapshot or a newer record covers it.
   */
  public static final int SLOTS = 256;

  // The indexes of the fields in the text line of a job. The fields are separated by '|'.
  private static final int UID = 0;
  private static final int COMPLETED_COUNT = 1;
  private static final int RUNNING_COUNT = 2;
  private static final int COMPLETED = 3;
  private static final int CLEARED = 4;
  private static final int PLACEMENTS = 5;

  private static final int DECIMAL = 10;

  /** Returns the slot of the log that stores the record with this sequence number. */
  public static int slot(long sequence) {
    return (int) (sequence % SLOTS);
  }

  /** Builds the stored value of a record up to a largest size, measured in bytes of JSON. */
  public static final class Builder {
    private static final int RECORD_OVERHEAD_BYTES = 120;

    /** Estimated upper bound of the bytes of a job's line without its placements. */
    private static final int JOB_OVERHEAD_BYTES = 300;

    /**
     * Upper bound of the bytes of a placement whose machine has no other placement in the record,
     * for names of usual length.
     */
    private static final int MAX_PLACEMENT_BYTES = 75;

    /** The bytes of the quotes and the comma of a string in a list. */
    private static final int STRING_OVERHEAD_BYTES = 3;

    /** The bytes of the quotes, the commas and the group index in the text of a machine. */
    private static final int MACHINE_OVERHEAD_BYTES = 6;

    private final long sequence;
    private final String id;
    private final int maxBytes;

    /** The machine groups (type, zone, and spot or on-demand) in the record with their indexes. */
    private final Map<String, Integer> groups = new LinkedHashMap<>();

    private final Map<MachineInfo, Integer> machines = new LinkedHashMap<>();
    private final List<String> jobLines = new ArrayList<>();
    private int bytes = RECORD_OVERHEAD_BYTES;

    /**
     * @param maxBytes the largest size of the value in bytes of JSON
     */
    public Builder(long sequence, String id, int maxBytes) {
      this.sequence = sequence;
      this.id = id;
      this.maxBytes = maxBytes;
    }

    /**
     * Returns how many tasks of one job fit into a record even if each is placed on a different
     * machine, for names of usual length.
     */
    public static int guaranteedTaskCapacity(int maxBytes) {
      return Math.max(
          1, (maxBytes - RECORD_OVERHEAD_BYTES - JOB_OVERHEAD_BYTES) / MAX_PLACEMENT_BYTES);
    }

    /** Adds the statuses of a job. Returns false and adds nothing if they don't fit. */
    public boolean add(Delta delta) {
      int machinesBefore = machines.size();
      int groupsBefore = groups.size();
      StringBuilder line = new StringBuilder(delta.uid());
      line.append('|').append(delta.jobCompleted()).append('|').append(delta.jobRunning());
      line.append('|').append(delta.completed());
      line.append('|').append(delta.cleared()).append('|');
      int addedBytes = appendPlacements(line, delta.placements());
      addedBytes += line.length() + STRING_OVERHEAD_BYTES;
      if (bytes + addedBytes > maxBytes) {
        truncate(machines, machinesBefore);
        truncate(groups, groupsBefore);
        return false;
      }
      bytes += addedBytes;
      jobLines.add(line.toString());
      return true;
    }

    private static <K> void truncate(Map<K, Integer> indexes, int size) {
      indexes.values().removeIf(index -> index >= size);
    }

    /** Appends the placements; returns the bytes that their new machines add to the record. */
    private int appendPlacements(StringBuilder line, List<RecordedPlacement> placements) {
      int addedBytes = 0;
      int next = 0;
      while (next < placements.size()) {
        RecordedPlacement first = placements.get(next);
        int length = runLength(placements, next);
        addedBytes += addMachine(first.machine());
        line.append(next > 0 ? "," : "").append(first.task());
        if (length > 1) {
          line.append('-').append(first.task() + length - 1);
        }
        PlacementText.appendDetails(line, first, machines.get(first.machine()));
        next += length;
      }
      return addedBytes;
    }

    /**
     * Returns the number of placements, beginning at {@code start}, that have the same machine and
     * worker epoch, and consecutive tasks and attempts. They are written as one range.
     */
    private static int runLength(List<RecordedPlacement> placements, int start) {
      RecordedPlacement first = placements.get(start);
      int length = 1;
      while (start + length < placements.size()
          && continuesRun(first, placements.get(start + length), length)) {
        length++;
      }
      return length;
    }

    private static boolean continuesRun(
        RecordedPlacement first, RecordedPlacement next, int distance) {
      return next.task() == first.task() + distance
          && next.attempt() == first.attempt() + distance
          && next.workerEpoch() == first.workerEpoch()
          && next.machine().equals(first.machine());
    }

    /** Adds the machine if the record lacks it; returns the bytes that this adds to the record. */
    private int addMachine(MachineInfo machine) {
      if (machines.containsKey(machine)) {
        return 0;
      }
      machines.put(machine, machines.size());
      int addedBytes = machine.id().length() + MACHINE_OVERHEAD_BYTES;
      String group = PlacementText.machineGroup(machine);
      if (groups.putIfAbsent(group, groups.size()) == null) {
        addedBytes += group.length() + STRING_OVERHEAD_BYTES;
      }
      return addedBytes;
    }

    /** Returns whether no statuses were added. */
    public boolean isEmpty() {
      return jobLines.isEmpty();
    }

    /** Returns the size of the value in bytes of JSON, which may be an overestimate. */
    public int bytes() {
      return bytes;
    }

    /** Returns the stored form of the record. */
    public JsonNode value() {
      ObjectNode value = Cbor.map();
      value.put("n", sequence);
      value.put("id", id);
      ArrayNode groupNames = value.putArray("kinds");
      groups.keySet().forEach(groupNames::add);
      ArrayNode hosts = value.putArray("hosts");
      machines
          .keySet()
          .forEach(
              machine ->
                  hosts.add(machine.id() + "," + groups.get(PlacementText.machineGroup(machine))));
      ArrayNode jobs = value.putArray("jobs");
      jobLines.forEach(jobs::add);
      return value;
    }
  }

  /** Receives the counts of each job in a record. */
  public interface CountsConsumer {
    /** Called with the job's numbers of completed tasks and of tasks placed on machines. */
    void accept(String uid, int completed, int running);
  }

  /**
   * Reads only the counts of each job in a record, for display. Malformed lines are skipped; {@link
   * #decode} rejects a record that contains one.
   */
  public static void readCounts(JsonNode value, CountsConsumer consumer) {
    for (JsonNode job : value.path("jobs")) {
      String line = job.asText();
      int uidEnd = line.indexOf('|');
      int completedEnd = line.indexOf('|', uidEnd + 1);
      int runningEnd = line.indexOf('|', completedEnd + 1);
      if (uidEnd > 0 && completedEnd > 0 && runningEnd > 0) {
        try {
          consumer.accept(
              line.substring(0, uidEnd),
              Integer.parseInt(line, uidEnd + 1, completedEnd, DECIMAL),
              Integer.parseInt(line, completedEnd + 1, runningEnd, DECIMAL));
        } catch (NumberFormatException e) {
          // The malformed line is skipped, since these counts are only displayed.
        }
      }
    }
  }

  /** Decodes a record; empty if any part of it is malformed. */
  public static Optional<ProgressLogRecord> decode(JsonNode value) {
    JsonNode sequence = value.path("n");
    if (!sequence.canConvertToLong() || !sequence.isIntegralNumber()) {
      return Optional.empty();
    }
    if (!value.path("id").isTextual() || !value.path("jobs").isArray()) {
      return Optional.empty();
    }
    try {
      List<MachineInfo> machines = decodeMachines(value);
      List<Delta> deltas = new ArrayList<>();
      for (JsonNode line : value.path("jobs")) {
        deltas.add(decodeDelta(line.asText(), machines));
      }
      return Optional.of(
          new ProgressLogRecord(sequence.asLong(), value.path("id").asText(), deltas));
    } catch (NumberFormatException | IndexOutOfBoundsException e) {
      return Optional.empty();
    }
  }

  private static List<MachineInfo> decodeMachines(JsonNode value) {
    List<String[]> groups = new ArrayList<>();
    value.path("kinds").forEach(group -> groups.add(group.asText().split(",", -1)));
    List<MachineInfo> machines = new ArrayList<>();
    for (JsonNode host : value.path("hosts")) {
      String[] fields = host.asText().split(",", -1);
      String[] group = groups.get(Integer.parseInt(fields[1]));
      machines.add(new MachineInfo(fields[0], group[0], group[1], PlacementText.isSpot(group[2])));
    }
    return machines;
  }

  private static Delta decodeDelta(String line, List<MachineInfo> machines) {
    String[] fields = line.split("\\|", -1);
    return new Delta(
        fields[UID],
        Integer.parseInt(fields[COMPLETED_COUNT]),
        Integer.parseInt(fields[RUNNING_COUNT]),
        TaskRanges.parse(fields[COMPLETED]),
        TaskRanges.parse(fields[CLEARED]),
        decodePlacements(fields[PLACEMENTS], machines));
  }

  private static List<RecordedPlacement> decodePlacements(String text, List<MachineInfo> machines) {
    List<RecordedPlacement> placements = new ArrayList<>();
    for (String item : TaskRanges.items(text)) {
      String[] fields = PlacementText.fields(item);
      String tasks = fields[PlacementText.TASK];
      int dash = tasks.indexOf('-');
      int firstTask = Integer.parseInt(dash < 0 ? tasks : tasks.substring(0, dash));
      int lastTask = dash < 0 ? firstTask : Integer.parseInt(tasks.substring(dash + 1));
      long attempt = PlacementText.attempt(fields);
      for (int task = firstTask; task <= lastTask; task++) {
        placements.add(PlacementText.placement(task, attempt + task - firstTask, fields, machines));
      }
    }
    return placements;
  }
}
