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
 * The machine types as last heard from the cloud. Kept so that nodes that all start anew while the
 * cloud is down can still lead, answer workers, and judge submissions.
 */
public final class MachineTypesRecord {
  private MachineTypesRecord() {}

  /**
   * The writes that keep the types: one, or several parts where one value can't hold them. Then the
   * record of all types stays as it may stand, for a reader that knows no parts: half of the types
   * would mislead it.
   */
  public static List<Change.Put> puts(List<MachineType> types, int valueBytes) {
    JsonNode whole = encode(types);
    if (Cbor.jsonSize(whole) <= valueBytes) {
      return List.of(new Change.Put(Keys.TYPES, whole));
    }
    List<List<MachineType>> parts = new ArrayList<>();
    for (MachineType type : types) {
      List<MachineType> longer = new ArrayList<>(parts.isEmpty() ? List.of() : last(parts));
      longer.add(type);
      if (parts.isEmpty() || Cbor.jsonSize(encode(longer)) > valueBytes - 20) {
        parts.add(new ArrayList<>(List.of(type)));
      } else {
        parts.set(parts.size() - 1, longer);
      }
    }
    List<Change.Put> puts = new ArrayList<>();
    for (int i = 0; i < parts.size(); i++) {
      ObjectNode part = encode(parts.get(i)).put("parts", parts.size());
      puts.add(new Change.Put(Keys.types(i), part));
    }
    return puts;
  }

  private static <T> T last(List<T> list) {
    return list.get(list.size() - 1);
  }

  /** All types that are recorded, the newest last; empty when not all can be read. */
  public static Optional<List<MachineType>> read(Replica replica) {
    List<MachineType> types = new ArrayList<>();
    replica.get(Keys.TYPES).flatMap(e -> decode(e.value())).ifPresent(types::addAll);
    int parts = replica.get(Keys.types(0)).map(e -> e.value().path("parts").asInt()).orElse(0);
    List<MachineType> inParts = new ArrayList<>();
    for (int i = 0; i < parts; i++) {
      Optional<List<MachineType>> part = replica.get(Keys.types(i)).flatMap(e -> decode(e.value()));
      if (part.isEmpty()) {
        return types.isEmpty() ? Optional.empty() : Optional.of(types);
      }
      inParts.addAll(part.get());
    }
    types.addAll(inParts);
    return types.isEmpty() ? Optional.empty() : Optional.of(types);
  }

  public static ObjectNode encode(List<MachineType> types) {
    ObjectNode v = Cbor.map();
    ArrayNode list = v.putArray("types");
    for (MachineType t : types) {
      ObjectNode o = list.addObject();
      o.put("name", t.name());
      o.put("cores", t.size().cores());
      o.put("accel", t.size().accelerators());
      o.put("mem", t.size().memory());
      o.put("cache_gb", t.cacheGb());
      o.put("fetch", t.fetchGbPerS());
      o.put("price", t.price());
      o.put("spot_price", t.spotPrice());
      o.put("boot_s", t.bootS());
      t.zones().forEach(o.putArray("zones")::add);
    }
    return v;
  }

  public static Optional<List<MachineType>> decode(JsonNode v) {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode o : v.path("types")) {
      List<String> zones = new ArrayList<>();
      o.path("zones").forEach(z -> zones.add(z.asText()));
      if (!o.path("name").isTextual() || !o.path("cores").isIntegralNumber() || zones.isEmpty()) {
        return Optional.empty();
      }
      types.add(
          new MachineType(
              o.path("name").asText(),
              new Resources(
                  o.path("cores").asLong(), o.path("accel").asLong(), o.path("mem").asLong()),
              o.path("cache_gb").asDouble(),
              o.path("fetch").asDouble(),
              o.path("price").asDouble(),
              o.path("spot_price").asDouble(),
              o.path("boot_s").asDouble(),
              List.copyOf(zones)));
    }
    return types.isEmpty() ? Optional.empty() : Optional.of(types);
  }
}
