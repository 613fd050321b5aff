package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ploverspindle.cloud.MachineType;
import org.ploverspindle.jobs.Resources;
import org.ploverspindle.net.Cbor;

/**
 * The machine types as last heard from the cloud. Kept so that nodes that all start anew while the
 * cloud is down can still lead, answer workers, and judge submissions.
 */
public final class TypesRecord {
  private TypesRecord() {}

  public static JsonNode encode(List<MachineType> types) {
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
