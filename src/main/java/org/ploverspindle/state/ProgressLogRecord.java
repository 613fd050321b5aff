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
import org.ploverspindle.state.SnapshotRecord.MachineInfo;
import org.ploverspindle.state.SnapshotRecord.RecordedPlacement;

/**
 * One record of the leader's progress log: what the touched tasks of any number of jobs are now.
 * Changes are the scarcest thing that the state service gives, so one put carries all that happened
 * since the last one. It says how tasks are, not what happened to them: applying it again, or
 * together with a newer checkpoint, does no harm.
 *
 * @param sequence place in the log; later records say newer things
 * @param id who wrote it, so that an unanswered write can be recognised
 */
public record ProgressLogRecord(long sequence, String id, List<Delta> deltas) {

  /**
   * How the touched tasks of a job are: done, on a machine, or on none.
   *
   * @param doneCount of the whole job, for display; so is {@code running}
   */
  public record Delta(
      String uid,
      int doneCount,
      int running,
      BitSet completed,
      BitSet cleared,
      List<RecordedPlacement> placements) {}

  /** How many records the log holds; the oldest is replaced once checkpoints cover it. */
  public static final int SLOTS = 256;

  public static int slot(long n) {
    return (int) (n % SLOTS);
  }

  /** Builds the value of a record within a size, counted in JSON form. */
  public static final class Builder {
    private static final int FIXED = 120;

    private final long n;
    private final String id;
    private final int maxBytes;
    private final Map<String, Integer> kinds = new LinkedHashMap<>();
    private final Map<MachineInfo, Integer> hosts = new LinkedHashMap<>();
    private final List<String> lines = new ArrayList<>();
    private int bytes = FIXED;

    public Builder(long n, String id, int maxBytes) {
      this.n = n;
      this.id = id;
      this.maxBytes = maxBytes;
    }

    /** A task on a machine of its own takes at most about this much. */
    public static int tasksThatFit(int maxBytes) {
      return Math.max(1, (maxBytes - FIXED - 300) / 75);
    }

    /** Adds what is said of a job; false, and nothing is added, when it does not fit any more. */
    public boolean add(Delta d) {
      int hostsBefore = hosts.size();
      int kindsBefore = kinds.size();
      StringBuilder line = new StringBuilder(64);
      line.append(d.uid()).append('|').append(d.doneCount()).append('|').append(d.running());
      line.append('|').append(SnapshotRecord.ranges(d.completed()));
      line.append('|').append(SnapshotRecord.ranges(d.cleared())).append('|');
      int more = 0;
      for (int i = 0; i < d.placements().size(); ) {
        RecordedPlacement first = d.placements().get(i);
        int run = 1;
        while (i + run < d.placements().size()
            && continues(first, d.placements().get(i + run), run)) {
          run++;
        }
        Integer known = hosts.get(first.machine());
        if (known == null) {
          known = hosts.size();
          hosts.put(first.machine(), known);
          String kind = kind(first.machine());
          if (kinds.putIfAbsent(kind, kinds.size()) == null) {
            more += kind.length() + 3;
          }
          more += first.machine().id().length() + 6;
        }
        if (i > 0) {
          line.append(',');
        }
        line.append(first.task());
        if (run > 1) {
          line.append('-').append(first.task() + run - 1);
        }
        line.append(':').append(Long.toString(first.attempt(), 36)).append(':').append(known);
        line.append(':').append(first.agentEpoch());
        i += run;
      }
      more += line.length() + 3;
      if (bytes + more > maxBytes) {
        trim(hosts, hostsBefore);
        trim(kinds, kindsBefore);
        return false;
      }
      bytes += more;
      lines.add(line.toString());
      return true;
    }

    private static <K> void trim(Map<K, Integer> map, int size) {
      map.values().removeIf(index -> index >= size);
    }

    private static boolean continues(RecordedPlacement first, RecordedPlacement next, int run) {
      return next.task() == first.task() + run
          && next.attempt() == first.attempt() + run
          && next.agentEpoch() == first.agentEpoch()
          && next.machine().equals(first.machine());
    }

    private static String kind(MachineInfo h) {
      return h.type() + "," + h.zone() + "," + (h.spot() ? "spot" : "ordinary");
    }

    public boolean isEmpty() {
      return lines.isEmpty();
    }

    public int bytes() {
      return bytes;
    }

    public JsonNode value() {
      ObjectNode v = Cbor.map();
      v.put("n", n);
      v.put("id", id);
      ArrayNode kindNames = v.putArray("kinds");
      kinds.keySet().forEach(kindNames::add);
      ArrayNode hostNames = v.putArray("hosts");
      hosts.keySet().forEach(h -> hostNames.add(h.id() + "," + kinds.get(kind(h))));
      ArrayNode jobs = v.putArray("jobs");
      lines.forEach(jobs::add);
      return v;
    }
  }

  /** Calls for each job of a record with its counts, without reading the rest of it. */
  public interface CountsReader {
    void counts(String uid, int done, int running);
  }

  /** For display alone: what can't be read is passed over, as {@link #decode} reports it. */
  public static void counts(JsonNode v, CountsReader reader) {
    for (JsonNode line : v.path("jobs")) {
      String text = line.asText();
      int a = text.indexOf('|');
      int b = text.indexOf('|', a + 1);
      int c = text.indexOf('|', b + 1);
      if (a > 0 && b > 0 && c > 0) {
        try {
          reader.counts(
              text.substring(0, a),
              Integer.parseInt(text, a + 1, b, 10),
              Integer.parseInt(text, b + 1, c, 10));
        } catch (NumberFormatException e) {
          // Passed over, see above.
        }
      }
    }
  }

  /** Empty when the record can't be read as a whole. */
  public static Optional<ProgressLogRecord> decode(JsonNode v) {
    if (!v.path("n").canConvertToLong() || !v.path("n").isIntegralNumber()) {
      return Optional.empty();
    }
    if (!v.path("id").isTextual() || !v.path("jobs").isArray()) {
      return Optional.empty();
    }
    try {
      List<String[]> kinds = new ArrayList<>();
      v.path("kinds").forEach(k -> kinds.add(k.asText().split(",", -1)));
      List<MachineInfo> hosts = new ArrayList<>();
      for (JsonNode h : v.path("hosts")) {
        String[] f = h.asText().split(",", -1);
        String[] kind = kinds.get(Integer.parseInt(f[1]));
        hosts.add(new MachineInfo(f[0], kind[0], kind[1], kind[2].equals("spot")));
      }
      List<Delta> deltas = new ArrayList<>();
      for (JsonNode line : v.path("jobs")) {
        String[] f = line.asText().split("\\|", -1);
        deltas.add(
            new Delta(
                f[0],
                Integer.parseInt(f[1]),
                Integer.parseInt(f[2]),
                SnapshotRecord.ranges(f[3]),
                SnapshotRecord.ranges(f[4]),
                live(f[5], hosts)));
      }
      return Optional.of(
          new ProgressLogRecord(v.path("n").asLong(), v.path("id").asText(), deltas));
    } catch (NumberFormatException | IndexOutOfBoundsException e) {
      return Optional.empty();
    }
  }

  private static List<RecordedPlacement> live(String text, List<MachineInfo> hosts) {
    List<RecordedPlacement> live = new ArrayList<>();
    for (String place : SnapshotRecord.parts(text)) {
      String[] f = place.split(":", -1);
      int dash = f[0].indexOf('-');
      int from = Integer.parseInt(dash < 0 ? f[0] : f[0].substring(0, dash));
      int to = dash < 0 ? from : Integer.parseInt(f[0].substring(dash + 1));
      long attempt = Long.parseLong(f[1], 36);
      for (int task = from; task <= to; task++) {
        live.add(
            new RecordedPlacement(
                task,
                attempt + task - from,
                hosts.get(Integer.parseInt(f[2])),
                Long.parseLong(f[3])));
      }
    }
    return live;
  }
}
