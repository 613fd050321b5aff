package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.net.Cbor;

/**
 * The stored record of an accepted job.
 *
 * @param acceptedWallMs when the job was accepted, in milliseconds on the wall clock of the
 *     controller that accepted it
 * @param shardSize the number of tasks per shard. The tasks of a shard share a progress snapshot.
 *     The number is fixed when the job is accepted, because the settings that it is computed from
 *     may change later.
 */
public record JobRecord(JobSpec spec, long acceptedWallMs, int shardSize) {
  static final String TASKS = "tasks";
  private static final String KIND = "shape";
  private static final String DEPENDENCIES = "awaits";
  private static final String DEPENDENCIES_KEY = "awaits_in";

  /**
   * Returns the stored form with the dependencies inline. The record of a job without dependencies
   * lacks the field, because earlier versions may read the record and do not know the field.
   */
  public ObjectNode encode() {
    ObjectNode value = encodeWithoutDependencies();
    if (!spec.dependencies().isEmpty()) {
      spec.dependencies().forEach(value.putArray(DEPENDENCIES)::add);
    }
    return value;
  }

  /**
   * Returns the stored form that refers to a separate list of dependencies. All parts of that list
   * must be written before this record.
   */
  public ObjectNode encode(DependenciesRecord separate) {
    ObjectNode value = encodeWithoutDependencies();
    value
        .putObject(DEPENDENCIES_KEY)
        .put("key", separate.name())
        .put("parts", separate.parts().size());
    return value;
  }

  /** The place where the dependencies of a job are stored. */
  public sealed interface StoredDependencies {
    /** The job's own record contains the dependencies; the list is empty if the job has none. */
    record Inline(List<String> uids) implements StoredDependencies {}

    /** The {@link DependenciesRecord} with this name and number of parts contains them. */
    record Separate(String name, int parts) implements StoredDependencies {}
  }

  /**
   * Returns where the dependencies of the job with this record are stored, without decoding the
   * rest of the record.
   */
  public static StoredDependencies storedDependencies(JsonNode value) {
    JsonNode separate = value.path(DEPENDENCIES_KEY);
    if (separate.isObject()) {
      return new StoredDependencies.Separate(
          separate.path("key").asText(), separate.path("parts").asInt());
    }
    List<String> uids = new ArrayList<>();
    value.path(DEPENDENCIES).forEach(uid -> uids.add(uid.asText()));
    return new StoredDependencies.Inline(List.copyOf(uids));
  }

  private ObjectNode encodeWithoutDependencies() {
    ObjectNode value = Cbor.map();
    value.put("class", spec.jobClass());
    value.put("team", spec.team());
    value.put(KIND, StoredNames.of(spec.kind()));
    value.put("urgency", StoredNames.of(spec.priority()));
    value.put(TASKS, spec.tasks());
    value.put("cores", spec.cores());
    value.put("accel", spec.accelerators());
    value.put("mem", spec.memoryGb());
    spec.allowedTypes().ifPresent(types -> types.forEach(value.putArray("types")::add));
    spec.requiredZone().ifPresent(zone -> value.put("zone", zone));
    value.put("one_zone", spec.oneZone());
    value.put("apart", spec.spreadOverZones());
    value.put("spot", spec.spot());
    value.put("image", spec.image());
    value.put("image_gb", spec.imageGb());
    value.put("expected", spec.expectedS());
    value.put("save_every", spec.checkpointIntervalS());
    value.put("save_cost", spec.checkpointCostS());
    spec.deadlineS().ifPresent(deadline -> value.put("due", deadline));
    value.put("at", acceptedWallMs);
    value.put("chunk", shardSize);
    return value;
  }

  /**
   * Returns when the job was accepted, in milliseconds on the wall clock, without decoding the rest
   * of the record.
   */
  public static long acceptedWallMs(JsonNode value) {
    return value.path("at").asLong();
  }

  /** Returns whether the job is a service, without decoding the rest of the record. */
  public static boolean isService(JsonNode value) {
    return value.path(KIND).asText().equals(StoredNames.of(JobKind.SERVICE));
  }

  /** Decodes the record of the job with this id; empty if the record is malformed. */
  public static Optional<JobRecord> decode(String uid, JsonNode value) {
    int tasks = value.path(TASKS).asInt(0);
    int shardSize = value.path("chunk").asInt(0);
    if (tasks < 1
        || shardSize < 1
        || !value.path("cores").isNumber()
        || !value.path("team").isTextual()) {
      return Optional.empty();
    }
    Optional<JobKind> kind = StoredNames.kind(value.path(KIND).asText());
    Optional<Priority> priority = StoredNames.priority(value.path("urgency").asText());
    if (kind.isEmpty() || priority.isEmpty()) {
      return Optional.empty();
    }
    JobSpec spec = decodeSpec(uid, value, kind.get(), priority.get());
    return Optional.of(new JobRecord(spec, acceptedWallMs(value), shardSize));
  }

  private static JobSpec decodeSpec(String uid, JsonNode value, JobKind kind, Priority priority) {
    return new JobSpec(
        uid,
        value.path("class").asText(),
        value.path("team").asText(),
        kind,
        priority,
        value.path(TASKS).asInt(),
        value.path("cores").asDouble(),
        value.path("accel").asDouble(),
        value.path("mem").asDouble(),
        decodeTypes(value.path("types")),
        Optional.of(value.path("zone")).filter(JsonNode::isTextual).map(JsonNode::asText),
        value.path("one_zone").asBoolean(),
        value.path("apart").asBoolean(),
        value.path("spot").asBoolean(),
        value.path("image").asText(),
        value.path("image_gb").asDouble(),
        value.path("expected").asDouble(),
        value.path("save_every").asDouble(),
        value.path("save_cost").asDouble(),
        decodeDeadline(value.path("due")),
        storedDependencies(value) instanceof StoredDependencies.Inline inline
            ? inline.uids()
            : List.of());
  }

  private static Optional<List<String>> decodeTypes(JsonNode types) {
    if (!types.isArray()) {
      return Optional.empty();
    }
    List<String> names = new ArrayList<>();
    types.forEach(type -> names.add(type.asText()));
    return Optional.of(List.copyOf(names));
  }

  private static OptionalDouble decodeDeadline(JsonNode deadline) {
    return deadline.isNumber() ? OptionalDouble.of(deadline.asDouble()) : OptionalDouble.empty();
  }
}
