package org.ploverspindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ploverspindle.sim.ReferenceProgressRecords.StoredJob;
import org.ploverspindle.state.StateStore.Entry;

/**
 * Reference reader of accepted jobs, their dependencies and their statuses, for the documented
 * formats as f659783 (the first version with pipelines) reads and writes them. Shares no code with
 * this version or f659783, so that a fault in their code does not go unnoticed.
 */
final class ReferenceJobRecords {
  static final String WAITING = "waiting";
  static final String READY = "ready";
  static final String ABORTED = "aborted";
  static final String DONE = "done";

  /** An accepted job and the uids of the jobs on which it depends. */
  record ReferenceJob(StoredJob stored, List<String> dependencies) {}

  private final SortedMap<String, Entry> entries;
  private final Map<String, ReferenceJob> jobs = new TreeMap<>();
  private final Map<String, String> statuses = new TreeMap<>();

  ReferenceJobRecords(SortedMap<String, Entry> entries) {
    this.entries = entries;
    for (Entry batch : entries.subMap("ps1/b/", "ps1/b0").values()) {
      for (Map.Entry<String, JsonNode> job : batch.value().properties()) {
        JsonNode spec = job.getValue();
        StoredJob stored =
            new StoredJob(job.getKey(), spec.path("tasks").asInt(), spec.path("chunk").asInt());
        jobs.put(job.getKey(), new ReferenceJob(stored, dependencies(spec)));
      }
    }
  }

  Map<String, ReferenceJob> jobs() {
    return jobs;
  }

  private List<String> dependencies(JsonNode spec) {
    List<String> dependencies = new ArrayList<>();
    spec.path("awaits").forEach(uid -> dependencies.add(uid.asText()));
    JsonNode separateList = spec.path("awaits_in");
    for (int part = 0; part < separateList.path("parts").asInt(); part++) {
      String key = listKey(separateList.path("key").asText(), part);
      dependencies.addAll(List.of(entries.get(key).value().path("ids").asText().split(",")));
    }
    return dependencies;
  }

  static String listKey(String name, int part) {
    return "ps1/a/" + name + "/" + String.format(Locale.ROOT, "%04d", part);
  }

  /**
   * Returns the job's status. A job is aborted if it is cancelled or one of its dependencies is
   * aborted, and ready once all its dependencies are done.
   */
  String status(String uid) {
    String cached = statuses.get(uid);
    String status = cached == null ? computeStatus(uid) : cached;
    statuses.put(uid, status);
    return status;
  }

  private String computeStatus(String uid) {
    if (entries.containsKey("ps1/d/" + uid)) {
      return DONE;
    }
    List<String> dependencyStatuses =
        jobs.get(uid).dependencies().stream().map(this::status).toList();
    if (entries.containsKey("ps1/c/" + uid) || dependencyStatuses.contains(ABORTED)) {
      return ABORTED;
    }
    return dependencyStatuses.stream().allMatch(DONE::equals) ? READY : WAITING;
  }

  /** Returns a copy of the record of a job without dependencies, with this number of tasks. */
  static ObjectNode spec(JsonNode withoutDependencies, int tasks) {
    ObjectNode spec = withoutDependencies.deepCopy();
    return spec.put("tasks", tasks);
  }
}
