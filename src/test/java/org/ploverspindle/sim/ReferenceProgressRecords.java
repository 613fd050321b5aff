package org.ploverspindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.Transaction;
import org.ploverspindle.state.StateStore.TransactionResult;

/**
 * The records of progress by their documented forms alone, read slowly and written as the version
 * in production does: log records of any size and whole checkpoints. Shares no code with either
 * version. A task's state is a text: "waiting", "done" or "live attempt host tenure".
 */
final class ReferenceProgressRecords {
  static final String WAITING = "waiting";
  static final String DONE = "done";
  private static final int SLOTS = 256;

  /** A job as far as its records go. */
  record Kind(String uid, int tasks, int chunk) {}

  private ReferenceProgressRecords() {}

  static String live(long attempt, String host, long tenure) {
    return "live " + attempt + " " + host + " " + tenure;
  }

  // ---- reading

  private static List<Integer> numbers(String ranges) {
    List<Integer> numbers = new ArrayList<>();
    for (String part : ranges.isEmpty() ? new String[0] : ranges.split(",")) {
      String[] ends = part.split("-");
      for (int t = Integer.parseInt(ends[0]); t <= Integer.parseInt(ends[ends.length - 1]); t++) {
        numbers.add(t);
      }
    }
    return numbers;
  }

  private static Map<Integer, String> places(String text, JsonNode hosts) {
    Map<Integer, String> places = new LinkedHashMap<>();
    for (String part : text.isEmpty() ? new String[0] : text.split(",")) {
      String[] f = part.split(":");
      String host = hosts.path(Integer.parseInt(f[2])).asText().split(",")[0];
      long attempt = Long.parseLong(f[1], 36);
      for (int t : numbers(f[0])) {
        places.put(t, live(attempt++, host, Long.parseLong(f[3])));
      }
    }
    return places;
  }

  private static List<JsonNode> log(SortedMap<String, Entry> all) {
    List<JsonNode> log = new ArrayList<>();
    all.subMap("ps1/l/", "ps1/l0").values().forEach(e -> log.add(e.value()));
    log.sort(Comparator.comparingLong(v -> v.path("n").asLong()));
    return log;
  }

  private static long upTo(SortedMap<String, Entry> all, Kind job, int chunk) {
    Entry e = all.get(checkpointKey(job, chunk));
    return e == null ? 0 : e.value().path("upto").asLong();
  }

  private static String checkpointKey(Kind job, int chunk) {
    return "ps1/p/" + job.uid() + "/" + String.format(Locale.ROOT, "%05d", chunk);
  }

  /** Every task's state, as a reader of the documented forms understands the records. */
  static String[] read(SortedMap<String, Entry> all, Kind job) {
    String[] state = new String[job.tasks()];
    Arrays.fill(state, WAITING);
    for (int chunk = 0; chunk * job.chunk() < job.tasks(); chunk++) {
      Entry e = all.get(checkpointKey(job, chunk));
      if (e != null) {
        JsonNode v = e.value();
        places(v.path("live").asText(), v.path("hosts")).forEach((t, place) -> state[t] = place);
        numbers(v.path("done").asText()).forEach(t -> state[t] = DONE);
      }
    }
    for (JsonNode record : log(all)) {
      for (JsonNode line : record.path("jobs")) {
        String[] f = line.asText().split("\\|", -1);
        if (f[0].equals(job.uid())) {
          Map<Integer, String> says = new HashMap<>(places(f[5], record.path("hosts")));
          numbers(f[3]).forEach(t -> says.put(t, DONE));
          numbers(f[4]).forEach(t -> says.put(t, WAITING));
          says.forEach(
              (t, now) -> {
                boolean newer = record.path("n").asLong() > upTo(all, job, t / job.chunk());
                if (newer && !state[t].equals(DONE)) {
                  state[t] = now;
                }
              });
        }
      }
    }
    return state;
  }

  // ---- writing, as the version in production does

  /** A leader of the version in production, one write at a time; what is refused stays to write. */
  static final class OldWriter {
    private final SimStateStore store;
    private final long leaderStamp;
    private final int valueBytes;
    private final int txnOps;
    private final Map<String, Kind> jobs = new HashMap<>();
    private final Map<Kind, String[]> states = new HashMap<>();
    private final Map<Kind, TreeSet<Integer>> dirty = new LinkedHashMap<>();
    private int tries;

    OldWriter(SimStateStore store, long leaderStamp, int valueBytes, int txnOps) {
      this.store = store;
      this.leaderStamp = leaderStamp;
      this.valueBytes = valueBytes;
      this.txnOps = txnOps;
    }

    void knows(Kind job, String[] state) {
      jobs.put(job.uid(), job);
      states.put(job, state);
    }

    void over(Kind job) {
      jobs.remove(job.uid());
      states.remove(job);
      dirty.remove(job);
    }

    Collection<Kind> jobs() {
      return jobs.values();
    }

    String[] state(Kind job) {
      return states.get(job);
    }

    void now(Kind job, int task, String state) {
      states.get(job)[task] = state;
      dirty.computeIfAbsent(job, j -> new TreeSet<>()).add(task);
    }

    boolean clean() {
      return dirty.isEmpty();
    }

    private boolean write(SortedMap<String, Entry> all, List<Change> changes) {
      List<Condition> conditions =
          new ArrayList<>(List.of(new Condition("ps1/leader", leaderStamp)));
      for (Change c : changes) {
        Entry e = all.get(c.key());
        conditions.add(new Condition(c.key(), e == null ? 0 : e.modRevision()));
      }
      return store.commit(new Transaction(conditions, changes))
          instanceof TransactionResult.Committed;
    }

    /** One record, after the checkpoints that its slot needs. False when the store refused. */
    boolean write() {
      SortedMap<String, Entry> all = LowerLimitsTest.all(store);
      long next = 1;
      for (JsonNode record : log(all)) {
        next = Math.max(next, record.path("n").asLong() + 1);
      }
      Map<String, Change> checkpoints = new TreeMap<>();
      for (JsonNode record : log(all)) {
        long n = record.path("n").asLong();
        for (JsonNode line : n <= next - SLOTS ? record.path("jobs") : Cbor.map()) {
          String[] f = line.asText().split("\\|", -1);
          Kind job = jobs.get(f[0]);
          if (job != null) {
            List<Integer> tasks = new ArrayList<>(numbers(f[3]));
            tasks.addAll(numbers(f[4]));
            tasks.addAll(places(f[5], record.path("hosts")).keySet());
            for (int t : tasks) {
              int chunk = t / job.chunk();
              if (n > upTo(all, job, chunk)) {
                checkpoints.put(checkpointKey(job, chunk), checkpoint(job, chunk, next - 1));
              }
            }
          }
        }
      }
      List<Change> changes = new ArrayList<>();
      for (Change c : checkpoints.values()) {
        changes.add(c);
        if (changes.size() == txnOps || changes.size() * valueBytes > 24 * 1024) {
          if (!write(all, changes)) {
            return false;
          }
          all = LowerLimitsTest.all(store);
          changes.clear();
        }
      }
      Map<Kind, TreeSet<Integer>> said = new LinkedHashMap<>();
      changes.add(
          new Change.Put(
              "ps1/l/" + String.format(Locale.ROOT, "%03d", next % SLOTS), record(next, said)));
      if (!write(all, changes)) {
        return false;
      }
      said.forEach(
          (job, tasks) -> {
            dirty.get(job).removeAll(tasks);
            if (dirty.get(job).isEmpty()) {
              dirty.remove(job);
            }
          });
      return true;
    }

    private long count(Kind job, String prefix) {
      return Arrays.stream(states.get(job)).filter(s -> s.startsWith(prefix)).count();
    }

    private Change checkpoint(Kind job, int chunk, long upTo) {
      List<String> done = new ArrayList<>();
      List<String> live = new ArrayList<>();
      Map<String, Integer> hosts = new LinkedHashMap<>();
      String[] state = states.get(job);
      int to = Math.min(job.tasks(), (chunk + 1) * job.chunk());
      for (int t = chunk * job.chunk(); t < to; t++) {
        String[] f = state[t].split(" ");
        if (state[t].equals(DONE)) {
          done.add("" + t);
        } else if (f.length == 4) {
          int host = hosts.computeIfAbsent(f[2], h -> hosts.size());
          live.add(t + ":" + Long.toString(Long.parseLong(f[1]), 36) + ":" + host + ":" + f[3]);
        }
      }
      ObjectNode v = Cbor.map();
      v.put("n", done.size()).put("r", live.size()).put("upto", upTo);
      v.put("done", String.join(",", done)).put("live", String.join(",", live));
      ArrayNode names = v.putArray("hosts");
      hosts.keySet().forEach(h -> names.add(h + ",type-16,zone-a,spot"));
      v.put("job_done", count(job, DONE)).put("job_running", count(job, "live"));
      return new Change.Put(checkpointKey(job, chunk), v);
    }

    private ObjectNode record(long n, Map<Kind, TreeSet<Integer>> said) {
      ObjectNode v = Cbor.map().put("n", n).put("id", "old." + ++tries);
      v.putArray("kinds").add("type-16,zone-a,spot");
      Map<String, Integer> hosts = new LinkedHashMap<>();
      List<String> lines = new ArrayList<>();
      int bytes = 200;
      for (Map.Entry<Kind, TreeSet<Integer>> e : dirty.entrySet()) {
        List<String> done = new ArrayList<>();
        List<String> cleared = new ArrayList<>();
        List<String> live = new ArrayList<>();
        bytes += 50;
        for (int t : e.getValue()) {
          bytes += 60;
          if (bytes > valueBytes) {
            break;
          }
          said.computeIfAbsent(e.getKey(), j -> new TreeSet<>()).add(t);
          String[] f = states.get(e.getKey())[t].split(" ");
          if (f.length == 4) {
            int host = hosts.computeIfAbsent(f[2], h -> hosts.size());
            live.add(t + ":" + Long.toString(Long.parseLong(f[1]), 36) + ":" + host + ":" + f[3]);
          } else {
            (f[0].equals(DONE) ? done : cleared).add("" + t);
          }
        }
        lines.add(
            String.join(
                "|",
                e.getKey().uid(),
                "" + count(e.getKey(), DONE),
                "" + count(e.getKey(), "live"),
                String.join(",", done),
                String.join(",", cleared),
                String.join(",", live)));
        if (bytes > valueBytes) {
          break;
        }
      }
      ArrayNode names = v.putArray("hosts");
      hosts.keySet().forEach(h -> names.add(h + ",0"));
      lines.forEach(v.putArray("jobs")::add);
      return v;
    }
  }
}
