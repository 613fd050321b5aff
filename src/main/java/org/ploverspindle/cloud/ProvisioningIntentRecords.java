package org.ploverspindle.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.LeaderWriter;
import org.ploverspindle.state.LeaderWriter.CreateOutcome;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Entry;

/** The durable records of claims: their names, their stored form, and their writes. */
final class ProvisioningIntentRecords {
  /** What a claim asks for. */
  record Requested(Autoscaler.MachineGroup group, int count) {}

  private final Catalogue catalogue;
  private final LeaderWriter writes;
  private final long token;
  private long counter;

  /**
   * @param token the term's first token, which makes names unique over all terms
   */
  ProvisioningIntentRecords(Catalogue catalogue, LeaderWriter writes, long token) {
    this.catalogue = catalogue;
    this.writes = writes;
    this.token = token;
  }

  /** Named from token and counter: no other leader, and no later rental of ours, has this name. */
  String newName() {
    return "r-" + token + "-" + ++counter;
  }

  static String name(Entry entry) {
    return entry.key().substring(Keys.PROVISIONING_INTENTS.length());
  }

  /** Empty when the value can't be read, or its type or zone is not known. */
  Optional<Requested> decode(JsonNode value) {
    Optional<Integer> type = catalogue.typeIndex(value.path("type").asText());
    Optional<Integer> zone = catalogue.zoneIndex(value.path("zone").asText());
    int count = value.path("count").asInt();
    if (type.isEmpty() || zone.isEmpty() || count < 1) {
      return Optional.empty();
    }
    Autoscaler.MachineGroup group =
        new Autoscaler.MachineGroup(type.get(), zone.get(), value.path("spot").asBoolean());
    return Optional.of(new Requested(group, count));
  }

  void create(String name, Requested demanded, Consumer<CreateOutcome> then) {
    Autoscaler.MachineGroup group = demanded.group();
    ObjectNode value = Cbor.map();
    value.put("type", catalogue.type(group.type()).name());
    value.put("zone", catalogue.zoneName(group.zone()));
    value.put("spot", group.spot());
    value.put("count", demanded.count());
    writes.create(new Change.Put(Keys.provisioningIntent(name), value), then);
  }

  void remove(String name, Consumer<Boolean> then) {
    writes.writeBestEffort(new Change.Remove(Keys.provisioningIntent(name)), then);
  }

  String typeName(Autoscaler.MachineGroup group) {
    return catalogue.type(group.type()).name();
  }

  String zoneName(Autoscaler.MachineGroup group) {
    return catalogue.zoneName(group.zone());
  }
}
