package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.net.Cbor;

/**
 * A job as it is stored: what was asked, when it came by the accepting node's time of day, and how
 * many tasks one progress record holds (fixed for good, as the settings may change).
 */
public record JobRecord(JobSpec spec, long acceptedWallMs, int shardSize) {
  private static final String DEPENDENCIES = "awaits";
  private static final String DEPENDENCIES_KEY = "awaits_in";

  /**
   * Jobs that await nothing are written as they always were, to the letter: an earlier version may
   * read them.
   */
  public ObjectNode encode() {
    ObjectNode v = withoutDependencies();
    if (!spec.dependencies().isEmpty()) {
      spec.dependencies().forEach(v.putArray(DEPENDENCIES)::add);
    }
    return v;
  }

  /** With the dependencies in records of their own, which are written before this one. */
  public ObjectNode encode(DependenciesRecord elsewhere) {
    ObjectNode v = withoutDependencies();
    v.putObject(DEPENDENCIES_KEY)
        .put("key", elsewhere.name())
        .put("parts", elsewhere.parts().size());
    return v;
  }

  /** What the job of a record awaits. */
  public sealed interface StoredDependencies {
    /** Empty for a job that awaits nothing. */
    record Inline(List<String> uids) implements StoredDependencies {}

    record Separate(String name, int parts) implements StoredDependencies {}
  }

  public static StoredDependencies storedDependencies(JsonNode v) {
    JsonNode elsewhere = v.path(DEPENDENCIES_KEY);
    if (elsewhere.isObject()) {
      return new StoredDependencies.Separate(
          elsewhere.path("key").asText(), elsewhere.path("parts").asInt());
    }
    List<String> uids = new ArrayList<>();
    v.path(DEPENDENCIES).forEach(uid -> uids.add(uid.asText()));
    return new StoredDependencies.Inline(List.copyOf(uids));
  }

  private ObjectNode withoutDependencies() {
    ObjectNode v = Cbor.map();
    v.put("class", spec.jobClass());
    v.put("team", spec.team());
    v.put("shape", spec.kind().name().toLowerCase(Locale.ROOT));
    v.put("urgency", spec.priority().name().toLowerCase(Locale.ROOT));
    v.put("tasks", spec.tasks());
    v.put("cores", spec.cores());
    v.put("accel", spec.accelerators());
    v.put("mem", spec.memoryGb());
    spec.types().ifPresent(types -> types.forEach(v.putArray("types")::add));
    spec.zone().ifPresent(z -> v.put("zone", z));
    v.put("one_zone", spec.oneZone());
    v.put("apart", spec.spreadOverZones());
    v.put("spot", spec.spot());
    v.put("image", spec.image());
    v.put("image_gb", spec.imageGb());
    v.put("expected", spec.expectedS());
    v.put("save_every", spec.checkpointIntervalS());
    v.put("save_cost", spec.checkpointCostS());
    spec.deadlineS().ifPresent(d -> v.put("due", d));
    v.put("at", acceptedWallMs);
    v.put("chunk", shardSize);
    return v;
  }

  /** The time of acceptance alone, for looking at many records. */
  public static long acceptedWallMs(JsonNode v) {
    return v.path("at").asLong();
  }

  /** Alone, for looking at many records. */
  public static boolean isService(JsonNode v) {
    return v.path("shape").asText().equals(JobKind.SERVICE.name().toLowerCase(Locale.ROOT));
  }

  /** Empty when the record can't be read. */
  public static Optional<JobRecord> decode(String uid, JsonNode v) {
    try {
      int tasks = v.path("tasks").asInt(0);
      int chunk = v.path("chunk").asInt(0);
      if (tasks < 1 || chunk < 1 || !v.path("cores").isNumber() || !v.path("team").isTextual()) {
        return Optional.empty();
      }
      Optional<List<String>> types = Optional.empty();
      if (v.path("types").isArray()) {
        List<String> names = new ArrayList<>();
        v.path("types").forEach(t -> names.add(t.asText()));
        types = Optional.of(List.copyOf(names));
      }
      JobSpec spec =
          new JobSpec(
              uid,
              v.path("class").asText(),
              v.path("team").asText(),
              JobKind.valueOf(v.path("shape").asText().toUpperCase(Locale.ROOT)),
              Priority.valueOf(v.path("urgency").asText().toUpperCase(Locale.ROOT)),
              tasks,
              v.path("cores").asDouble(),
              v.path("accel").asDouble(),
              v.path("mem").asDouble(),
              types,
              Optional.of(v.path("zone")).filter(JsonNode::isTextual).map(JsonNode::asText),
              v.path("one_zone").asBoolean(),
              v.path("apart").asBoolean(),
              v.path("spot").asBoolean(),
              v.path("image").asText(),
              v.path("image_gb").asDouble(),
              v.path("expected").asDouble(),
              v.path("save_every").asDouble(),
              v.path("save_cost").asDouble(),
              v.path("due").isNumber()
                  ? OptionalDouble.of(v.path("due").asDouble())
                  : OptionalDouble.empty(),
              storedDependencies(v) instanceof StoredDependencies.Inline here
                  ? here.uids()
                  : List.of());
      return Optional.of(new JobRecord(spec, acceptedWallMs(v), chunk));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
