package org.ploverspindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ploverspindle.sim.ReferenceProgressRecords.Kind;
import org.ploverspindle.state.StateStore.Entry;

/**
 * Accepted jobs and what they await by the documented forms alone, as the version that first had
 * pipelines (f659783) reads and writes them. Shares no code with either version.
 */
final class ReferenceJobRecords {
  static final String WAITING = "waiting";
  static final String READY = "ready";
  static final String ABORTED = "aborted";
  static final String DONE = "done";

  /** An accepted job as far as its place among others goes. */
  record PlainJob(Kind kind, List<String> awaits) {}

  private final SortedMap<String, Entry> all;
  private final Map<String, PlainJob> jobs = new TreeMap<>();
  private final Map<String, String> statuses = new TreeMap<>();

  ReferenceJobRecords(SortedMap<String, Entry> all) {
    this.all = all;
    for (Entry batch : all.subMap("ps1/b/", "ps1/b0").values()) {
      for (Map.Entry<String, JsonNode> job : batch.value().properties()) {
        JsonNode v = job.getValue();
        Kind kind = new Kind(job.getKey(), v.path("tasks").asInt(), v.path("chunk").asInt());
        jobs.put(job.getKey(), new PlainJob(kind, awaits(v)));
      }
    }
  }

  Map<String, PlainJob> jobs() {
    return jobs;
  }

  private List<String> awaits(JsonNode spec) {
    List<String> awaits = new ArrayList<>();
    spec.path("awaits").forEach(uid -> awaits.add(uid.asText()));
    JsonNode elsewhere = spec.path("awaits_in");
    for (int part = 0; part < elsewhere.path("parts").asInt(); part++) {
      String key = listKey(elsewhere.path("key").asText(), part);
      awaits.addAll(List.of(all.get(key).value().path("ids").asText().split(",")));
    }
    return awaits;
  }

  static String listKey(String name, int part) {
    return "ps1/a/" + name + "/" + String.format(Locale.ROOT, "%04d", part);
  }

  /** A job is aborted with any job that it awaits, and ready once all of them are done. */
  String status(String uid) {
    String known = statuses.get(uid);
    String status = known == null ? workOut(uid) : known;
    statuses.put(uid, status);
    return status;
  }

  private String workOut(String uid) {
    if (all.containsKey("ps1/d/" + uid)) {
      return DONE;
    }
    List<String> before = jobs.get(uid).awaits().stream().map(this::status).toList();
    if (all.containsKey("ps1/c/" + uid) || before.contains(ABORTED)) {
      return ABORTED;
    }
    return before.stream().allMatch(DONE::equals) ? READY : WAITING;
  }

  /** A job's record in the form of one that awaits nothing. */
  static ObjectNode spec(JsonNode awaitsNothing, int tasks) {
    ObjectNode spec = awaitsNothing.deepCopy();
    return spec.put("tasks", tasks);
  }
}
