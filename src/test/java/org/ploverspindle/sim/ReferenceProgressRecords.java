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
 * Reference reader of progress records in their documented formats, and a writer that works as the
 * version in production does: log records of any size, and snapshots of whole shards. Shares no
 * code with either version; the reader is simple and not fast.
 *
 * <p>A task's status is a text: "waiting", "done" or "live ATTEMPT MACHINE EPOCH", where EPOCH is
 * the worker epoch.
 */
final class ReferenceProgressRecords {
  static final String WAITING = "waiting";
  static final String DONE = "done";
  private static final int SLOTS = 256;

  /** What the progress records depend on: a job's uid, its number of tasks and its shard size. */
  record StoredJob(String uid, int tasks, int shardSize) {}

  private ReferenceProgressRecords() {}

  static String liveStatus(long attempt, String machineId, long workerEpoch) {
    return "live " + attempt + " " + machineId + " " + workerEpoch;
  }

  // ---- Reader

  private static List<Integer> parseRanges(String ranges) {
    List<Integer> numbers = new ArrayList<>();
    for (String part : ranges.isEmpty() ? new String[0] : ranges.split(",")) {
      String[] ends = part.split("-");
      for (int number = Integer.parseInt(ends[0]);
          number <= Integer.parseInt(ends[ends.length - 1]);
          number++) {
        numbers.add(number);
      }
    }
    return numbers;
  }

  private static Map<Integer, String> parsePlacements(String text, JsonNode hosts) {
    Map<Integer, String> placements = new LinkedHashMap<>();
    for (String part : text.isEmpty() ? new String[0] : text.split(",")) {
      String[] fields = part.split(":");
      String machineId = hosts.path(Integer.parseInt(fields[2])).asText().split(",")[0];
      long attempt = Long.parseLong(fields[1], 36);
      for (int task : parseRanges(fields[0])) {
        placements.put(task, liveStatus(attempt++, machineId, Long.parseLong(fields[3])));
      }
    }
    return placements;
  }

  private static List<JsonNode> logRecords(SortedMap<String, Entry> entries) {
    List<JsonNode> records = new ArrayList<>();
    entries.subMap("ps1/l/", "ps1/l0").values().forEach(e -> records.add(e.value()));
    records.sort(Comparator.comparingLong(v -> v.path("n").asLong()));
    return records;
  }

  private static long snapshotSequence(SortedMap<String, Entry> entries, StoredJob job, int shard) {
    Entry entry = entries.get(snapshotKey(job, shard));
    return entry == null ? 0 : entry.value().path("upto").asLong();
  }

  private static String snapshotKey(StoredJob job, int shard) {
    return "ps1/p/" + job.uid() + "/" + String.format(Locale.ROOT, "%05d", shard);
  }

  /**
   * Returns the status of each task. A snapshot's statuses are replaced by those of log records
   * with a higher sequence number than the snapshot's; a task that is done stays done.
   */
  static String[] read(SortedMap<String, Entry> entries, StoredJob job) {
    String[] statuses = new String[job.tasks()];
    Arrays.fill(statuses, WAITING);
    for (int shard = 0; shard * job.shardSize() < job.tasks(); shard++) {
      Entry entry = entries.get(snapshotKey(job, shard));
      if (entry != null) {
        JsonNode snapshot = entry.value();
        parsePlacements(snapshot.path("live").asText(), snapshot.path("hosts"))
            .forEach((task, status) -> statuses[task] = status);
        parseRanges(snapshot.path("done").asText()).forEach(task -> statuses[task] = DONE);
      }
    }
    for (JsonNode logRecord : logRecords(entries)) {
      for (JsonNode line : logRecord.path("jobs")) {
        String[] fields = line.asText().split("\\|", -1);
        if (fields[0].equals(job.uid())) {
          Map<Integer, String> changes =
              new HashMap<>(parsePlacements(fields[5], logRecord.path("hosts")));
          parseRanges(fields[3]).forEach(task -> changes.put(task, DONE));
          parseRanges(fields[4]).forEach(task -> changes.put(task, WAITING));
          changes.forEach(
              (task, status) -> {
                boolean isNewer =
                    logRecord.path("n").asLong()
                        > snapshotSequence(entries, job, task / job.shardSize());
                if (isNewer && !statuses[task].equals(DONE)) {
                  statuses[task] = status;
                }
              });
        }
      }
    }
    return statuses;
  }

  // ---- Writer of the version in production

  /**
   * Writes progress as a leader of the version in production: one transaction at a time. Tasks
   * whose write the state service refused are written again later.
   */
  static final class EarlierVersionWriter {
    private final SimStateStore store;
    private final long leaderRevision;
    private final int maxValueBytes;
    private final int maxChangesPerTransaction;
    private final Map<String, StoredJob> jobs = new HashMap<>();
    private final Map<StoredJob, String[]> statusesByJob = new HashMap<>();
    private final Map<StoredJob, TreeSet<Integer>> unwrittenTasks = new LinkedHashMap<>();
    private int recordCount;

    EarlierVersionWriter(
        SimStateStore store, long leaderRevision, int maxValueBytes, int maxChangesPerTransaction) {
      this.store = store;
      this.leaderRevision = leaderRevision;
      this.maxValueBytes = maxValueBytes;
      this.maxChangesPerTransaction = maxChangesPerTransaction;
    }

    void addJob(StoredJob job, String[] statuses) {
      jobs.put(job.uid(), job);
      statusesByJob.put(job, statuses);
    }

    void removeJob(StoredJob job) {
      jobs.remove(job.uid());
      statusesByJob.remove(job);
      unwrittenTasks.remove(job);
    }

    Collection<StoredJob> jobs() {
      return jobs.values();
    }

    String[] statuses(StoredJob job) {
      return statusesByJob.get(job);
    }

    void setStatus(StoredJob job, int task, String status) {
      statusesByJob.get(job)[task] = status;
      unwrittenTasks.computeIfAbsent(job, j -> new TreeSet<>()).add(task);
    }

    boolean allWritten() {
      return unwrittenTasks.isEmpty();
    }

    private boolean write(SortedMap<String, Entry> entries, List<Change> changes) {
      List<Condition> conditions =
          new ArrayList<>(List.of(new Condition("ps1/leader", leaderRevision)));
      for (Change change : changes) {
        Entry entry = entries.get(change.key());
        conditions.add(new Condition(change.key(), entry == null ? 0 : entry.modRevision()));
      }
      return store.commit(new Transaction(conditions, changes))
          instanceof TransactionResult.Committed;
    }

    /**
     * Writes one log record. Before that, writes the snapshots of all shards of which the record
     * that it replaces holds statuses that are newer than the stored snapshot.
     *
     * @return false if a transaction was not committed
     */
    boolean write() {
      SortedMap<String, Entry> entries = LowerLimitsTest.allEntries(store);
      long nextSequence = 1;
      for (JsonNode logRecord : logRecords(entries)) {
        nextSequence = Math.max(nextSequence, logRecord.path("n").asLong() + 1);
      }
      Map<String, Change> snapshots = new TreeMap<>();
      for (JsonNode logRecord : logRecords(entries)) {
        long sequence = logRecord.path("n").asLong();
        for (JsonNode line :
            sequence <= nextSequence - SLOTS ? logRecord.path("jobs") : Cbor.map()) {
          String[] fields = line.asText().split("\\|", -1);
          StoredJob job = jobs.get(fields[0]);
          if (job != null) {
            List<Integer> tasks = new ArrayList<>(parseRanges(fields[3]));
            tasks.addAll(parseRanges(fields[4]));
            tasks.addAll(parsePlacements(fields[5], logRecord.path("hosts")).keySet());
            for (int task : tasks) {
              int shard = task / job.shardSize();
              if (sequence > snapshotSequence(entries, job, shard)) {
                snapshots.put(snapshotKey(job, shard), snapshot(job, shard, nextSequence - 1));
              }
            }
          }
        }
      }
      List<Change> changes = new ArrayList<>();
      for (Change change : snapshots.values()) {
        changes.add(change);
        if (changes.size() == maxChangesPerTransaction
            || changes.size() * maxValueBytes > 24 * 1024) {
          if (!write(entries, changes)) {
            return false;
          }
          entries = LowerLimitsTest.allEntries(store);
          changes.clear();
        }
      }
      Map<StoredJob, TreeSet<Integer>> writtenTasks = new LinkedHashMap<>();
      changes.add(
          new Change.Put(
              "ps1/l/" + String.format(Locale.ROOT, "%03d", nextSequence % SLOTS),
              logRecord(nextSequence, writtenTasks)));
      if (!write(entries, changes)) {
        return false;
      }
      writtenTasks.forEach(
          (job, tasks) -> {
            unwrittenTasks.get(job).removeAll(tasks);
            if (unwrittenTasks.get(job).isEmpty()) {
              unwrittenTasks.remove(job);
            }
          });
      return true;
    }

    private long countStatuses(StoredJob job, String prefix) {
      return Arrays.stream(statusesByJob.get(job)).filter(s -> s.startsWith(prefix)).count();
    }

    private Change snapshot(StoredJob job, int shard, long lastSequence) {
      List<String> done = new ArrayList<>();
      List<String> live = new ArrayList<>();
      Map<String, Integer> hostIndexes = new LinkedHashMap<>();
      String[] statuses = statusesByJob.get(job);
      int endTask = Math.min(job.tasks(), (shard + 1) * job.shardSize());
      for (int task = shard * job.shardSize(); task < endTask; task++) {
        String[] fields = statuses[task].split(" ");
        if (statuses[task].equals(DONE)) {
          done.add("" + task);
        } else if (fields.length == 4) {
          int hostIndex = hostIndexes.computeIfAbsent(fields[2], h -> hostIndexes.size());
          live.add(
              task
                  + ":"
                  + Long.toString(Long.parseLong(fields[1]), 36)
                  + ":"
                  + hostIndex
                  + ":"
                  + fields[3]);
        }
      }
      ObjectNode value = Cbor.map();
      value.put("n", done.size()).put("r", live.size()).put("upto", lastSequence);
      value.put("done", String.join(",", done)).put("live", String.join(",", live));
      ArrayNode hostArray = value.putArray("hosts");
      hostIndexes.keySet().forEach(h -> hostArray.add(h + ",type-16,zone-a,spot"));
      value
          .put("job_done", countStatuses(job, DONE))
          .put("job_running", countStatuses(job, "live"));
      return new Change.Put(snapshotKey(job, shard), value);
    }

    private ObjectNode logRecord(long sequence, Map<StoredJob, TreeSet<Integer>> writtenTasks) {
      ObjectNode value = Cbor.map().put("n", sequence).put("id", "old." + ++recordCount);
      value.putArray("kinds").add("type-16,zone-a,spot");
      Map<String, Integer> hostIndexes = new LinkedHashMap<>();
      List<String> lines = new ArrayList<>();
      int bytes = 200;
      for (Map.Entry<StoredJob, TreeSet<Integer>> entry : unwrittenTasks.entrySet()) {
        List<String> done = new ArrayList<>();
        List<String> cleared = new ArrayList<>();
        List<String> live = new ArrayList<>();
        bytes += 50;
        for (int task : entry.getValue()) {
          bytes += 60;
          if (bytes > maxValueBytes) {
            break;
          }
          writtenTasks.computeIfAbsent(entry.getKey(), j -> new TreeSet<>()).add(task);
          String[] fields = statusesByJob.get(entry.getKey())[task].split(" ");
          if (fields.length == 4) {
            int hostIndex = hostIndexes.computeIfAbsent(fields[2], h -> hostIndexes.size());
            live.add(
                task
                    + ":"
                    + Long.toString(Long.parseLong(fields[1]), 36)
                    + ":"
                    + hostIndex
                    + ":"
                    + fields[3]);
          } else {
            (fields[0].equals(DONE) ? done : cleared).add("" + task);
          }
        }
        lines.add(
            String.join(
                "|",
                entry.getKey().uid(),
                "" + countStatuses(entry.getKey(), DONE),
                "" + countStatuses(entry.getKey(), "live"),
                String.join(",", done),
                String.join(",", cleared),
                String.join(",", live)));
        if (bytes > maxValueBytes) {
          break;
        }
      }
      ArrayNode hostArray = value.putArray("hosts");
      hostIndexes.keySet().forEach(h -> hostArray.add(h + ",0"));
      lines.forEach(value.putArray("jobs")::add);
      return value;
    }
  }
}
