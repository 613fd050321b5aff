package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Resources;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.StateStore.Change;

/**
 * The stored record of the machine types that the cloud listed last. With this record, controllers
 * that all restart while the cloud is unreachable can still acquire leadership, answer workers, and
 * validate submissions.
 */
public final class MachineTypesRecord {
  private static final String PARTS = "parts";

  /** Upper bound of the bytes that the field with the number of parts takes in each part. */
  private static final int PARTS_FIELD_BYTES = 20;

  private MachineTypesRecord() {}

  /**
   * Returns the writes that store the machine types: a single record, or several parts if one value
   * can't hold them. With parts, an existing single record is not changed. Earlier versions read
   * only the single record, and would take an incomplete list in it for the complete one.
   *
   * @param maxValueBytes the largest value that the state service accepts, in bytes of JSON
   */
  public static List<Change.Put> puts(List<MachineType> types, int maxValueBytes) {
    JsonNode single = encode(types);
    if (Cbor.jsonSize(single) <= maxValueBytes) {
      return List.of(new Change.Put(Keys.MACHINE_TYPES, single));
    }
    List<List<MachineType>> parts = split(types, maxValueBytes - PARTS_FIELD_BYTES);
    List<Change.Put> puts = new ArrayList<>();
    for (int i = 0; i < parts.size(); i++) {
      ObjectNode part = encode(parts.get(i)).put(PARTS, parts.size());
      puts.add(new Change.Put(Keys.machineTypes(i), part));
    }
    return puts;
  }

  private static List<List<MachineType>> split(List<MachineType> types, int maxBytes) {
    List<List<MachineType>> parts = new ArrayList<>();
    List<MachineType> part = new ArrayList<>();
    for (MachineType type : types) {
      List<MachineType> extended = new ArrayList<>(part);
      extended.add(type);
      if (part.isEmpty() || Cbor.jsonSize(encode(extended)) > maxBytes) {
        part = new ArrayList<>();
        parts.add(part);
      }
      part.add(type);
    }
    return parts;
  }

  /**
   * Returns all recorded machine types, the newest last; empty if there are none. The types of the
   * single record come first, since that record is not updated while parts are written.
   */
  public static Optional<List<MachineType>> read(Replica replica) {
    List<MachineType> types = new ArrayList<>();
    replica
        .get(Keys.MACHINE_TYPES)
        .flatMap(entry -> decode(entry.value()))
        .ifPresent(types::addAll);
    readParts(replica).ifPresent(types::addAll);
    return types.isEmpty() ? Optional.empty() : Optional.of(types);
  }

  /**
   * Returns the machine types that are stored in parts; empty if a part is missing or malformed.
   */
  private static Optional<List<MachineType>> readParts(Replica replica) {
    int parts =
        replica.get(Keys.machineTypes(0)).map(entry -> entry.value().path(PARTS).asInt()).orElse(0);
    List<MachineType> types = new ArrayList<>();
    for (int i = 0; i < parts; i++) {
      Optional<List<MachineType>> part =
          replica.get(Keys.machineTypes(i)).flatMap(entry -> decode(entry.value()));
      if (part.isEmpty()) {
        return Optional.empty();
      }
      types.addAll(part.get());
    }
    return Optional.of(types);
  }

  /** Returns the stored form of these machine types. */
  public static ObjectNode encode(List<MachineType> types) {
    ObjectNode value = Cbor.map();
    ArrayNode list = value.putArray("types");
    for (MachineType type : types) {
      ObjectNode typeNode = list.addObject();
      typeNode.put("name", type.name());
      typeNode.put("cores", type.size().cores());
      typeNode.put("accel", type.size().accelerators());
      typeNode.put("mem", type.size().memory());
      typeNode.put("cache_gb", type.cacheGb());
      typeNode.put("fetch", type.fetchGbPerS());
      typeNode.put("price", type.price());
      typeNode.put("spot_price", type.spotPrice());
      typeNode.put("boot_s", type.bootS());
      type.zones().forEach(typeNode.putArray("zones")::add);
    }
    return value;
  }

  /** Decodes a record; empty if a machine type in it is malformed, or if it contains none. */
  public static Optional<List<MachineType>> decode(JsonNode value) {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode typeNode : value.path("types")) {
      List<String> zones = new ArrayList<>();
      typeNode.path("zones").forEach(zone -> zones.add(zone.asText()));
      if (!typeNode.path("name").isTextual()
          || !typeNode.path("cores").isIntegralNumber()
          || zones.isEmpty()) {
        return Optional.empty();
      }
      types.add(decodeType(typeNode, List.copyOf(zones)));
    }
    return types.isEmpty() ? Optional.empty() : Optional.of(types);
  }

  private static MachineType decodeType(JsonNode typeNode, List<String> zones) {
    Resources size =
        new Resources(
            typeNode.path("cores").asLong(),
            typeNode.path("accel").asLong(),
            typeNode.path("mem").asLong());
    return new MachineType(
        typeNode.path("name").asText(),
        size,
        typeNode.path("cache_gb").asDouble(),
        typeNode.path("fetch").asDouble(),
        typeNode.path("price").asDouble(),
        typeNode.path("spot_price").asDouble(),
        typeNode.path("boot_s").asDouble(),
        zones);
  }
}
