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
 * A checkpoint of a run of a job's tasks: which are done, and where each other one was last placed.
 * Packed as text, ranges for the done ones, since a value may hold only a few kilobytes. Records of
 * the progress log after {@code upTo} say newer things; an earlier landing's records, which knew no
 * log, are read as from before its beginning.
 */
public record SnapshotRecord(
    BitSet done, List<RecordedPlacement> placements, int running, long coveredUpTo) {

  /** Counts of the whole job, for display. */
  public JsonNode encode(int jobDone, int jobRunning) {
    ObjectNode v = encode();
    v.put("job_done", jobDone);
    v.put("job_running", jobRunning);
    return v;
  }

  /** A machine with what a new leader must know of it before it reports or is listed. */
  public record MachineInfo(String id, String type, String zone, boolean spot) {}

  /** A task's placement: recorded before its launch is ordered. */
  public record RecordedPlacement(int task, long attempt, MachineInfo machine, long agentEpoch) {}

  /** A placement takes at most about this many bytes, with a machine of its own. */
  private static final int LIVE_BYTES = 100;

  /** How many tasks one record may hold so that it always fits in a value. */
  public static int shardSizeFor(int valueBytes) {
    return Math.max(8, (Math.min(valueBytes, 16 * 1024) - 250) / LIVE_BYTES);
  }

  public ObjectNode encode() {
    Map<MachineInfo, Integer> hosts = new LinkedHashMap<>();
    StringBuilder places = new StringBuilder();
    for (RecordedPlacement l : placements) {
      int host = hosts.computeIfAbsent(l.machine(), h -> hosts.size());
      places
          .append(places.isEmpty() ? "" : ",")
          .append(l.task())
          .append(':')
          .append(Long.toString(l.attempt(), 36))
          .append(':')
          .append(host)
          .append(':')
          .append(l.agentEpoch());
    }
    ObjectNode v = Cbor.map();
    v.put("n", done.cardinality());
    v.put("r", running);
    v.put("upto", coveredUpTo);
    v.put("done", ranges(done));
    v.put("live", places.toString());
    ArrayNode names = v.putArray("hosts");
    for (MachineInfo h : hosts.keySet()) {
      names.add(h.id() + "," + h.type() + "," + h.zone() + "," + (h.spot() ? "spot" : "ordinary"));
    }
    return v;
  }

  /** Empty when the record can't be read. */
  public static Optional<SnapshotRecord> decode(JsonNode v) {
    if (!v.path("done").isTextual() || !v.path("live").isTextual()) {
      return Optional.empty();
    }
    try {
      BitSet done = ranges(v.path("done").asText());
      List<MachineInfo> hosts = new ArrayList<>();
      for (JsonNode h : v.path("hosts")) {
        String[] f = h.asText().split(",", -1);
        if (f.length != 4) {
          return Optional.empty();
        }
        hosts.add(new MachineInfo(f[0], f[1], f[2], f[3].equals("spot")));
      }
      List<RecordedPlacement> live = new ArrayList<>();
      for (String place : parts(v.path("live").asText())) {
        String[] f = place.split(":", -1);
        if (f.length != 4) {
          return Optional.empty();
        }
        live.add(
            new RecordedPlacement(
                Integer.parseInt(f[0]),
                Long.parseLong(f[1], 36),
                hosts.get(Integer.parseInt(f[2])),
                Long.parseLong(f[3])));
      }
      return Optional.of(
          new SnapshotRecord(done, live, v.path("r").asInt(), v.path("upto").asLong(0)));
    } catch (NumberFormatException | IndexOutOfBoundsException e) {
      return Optional.empty();
    }
  }

  static String ranges(BitSet set) {
    StringBuilder ranges = new StringBuilder();
    for (int from = set.nextSetBit(0); from >= 0; ) {
      int to = set.nextClearBit(from) - 1;
      ranges.append(ranges.isEmpty() ? "" : ",").append(from);
      if (to > from) {
        ranges.append('-').append(to);
      }
      from = set.nextSetBit(to + 1);
    }
    return ranges.toString();
  }

  static BitSet ranges(String text) {
    BitSet set = new BitSet();
    for (String range : parts(text)) {
      int dash = range.indexOf('-');
      int from = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
      int to = dash < 0 ? from : Integer.parseInt(range.substring(dash + 1));
      set.set(from, to + 1);
    }
    return set;
  }

  static String[] parts(String text) {
    return text.isEmpty() ? new String[0] : text.split(",", -1);
  }
}
