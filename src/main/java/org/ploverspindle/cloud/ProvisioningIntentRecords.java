package org.ploverspindle.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.placement.MachineGroup;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.LeaderWriter;
import org.ploverspindle.state.LeaderWriter.CreateOutcome;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Entry;

/** The durable records of provisioning intents: names them, decodes, writes and removes them. */
final class ProvisioningIntentRecords {
  /** The machines that an intent requests from the cloud. */
  record MachineRequest(MachineGroup group, int count) {}

  private final Catalogue catalogue;
  private final LeaderWriter writer;
  private final long fencingToken;
  private long intentCount;

  /**
   * @param fencingToken the first fencing token of the term, which makes intent names unique over
   *     all terms
   */
  ProvisioningIntentRecords(Catalogue catalogue, LeaderWriter writer, long fencingToken) {
    this.catalogue = catalogue;
    this.writer = writer;
    this.fencingToken = fencingToken;
  }

  /**
   * Returns a name for a new intent. It consists of the term's fencing token and a counter, so that
   * no other intent of any leader has the same name.
   */
  String newName() {
    return "r-" + fencingToken + "-" + ++intentCount;
  }

  /** Returns the name of the intent that is stored in the entry. */
  static String name(Entry entry) {
    return entry.key().substring(Keys.PROVISIONING_INTENTS.length());
  }

  /**
   * Decodes a record's value. The result is empty if the value cannot be read, its machine type or
   * zone is unknown, or its count is below 1.
   */
  Optional<MachineRequest> decode(JsonNode value) {
    Optional<Integer> type = catalogue.typeIndex(value.path("type").asText());
    Optional<Integer> zone = catalogue.zoneIndex(value.path("zone").asText());
    int count = value.path("count").asInt();
    if (type.isEmpty() || zone.isEmpty() || count < 1) {
      return Optional.empty();
    }
    MachineGroup group = new MachineGroup(type.get(), zone.get(), value.path("spot").asBoolean());
    return Optional.of(new MachineRequest(group, count));
  }

  /** Creates the intent's record, and delivers what is known of the outcome. */
  void create(String name, MachineRequest request, Consumer<CreateOutcome> callback) {
    MachineGroup group = request.group();
    ObjectNode value = Cbor.map();
    value.put("type", typeName(group));
    value.put("zone", zoneName(group));
    value.put("spot", group.spot());
    value.put("count", request.count());
    writer.create(new Change.Put(Keys.provisioningIntent(name), value), callback);
  }

  /**
   * Removes the intent's record.
   *
   * @param callback called with true if the record is certainly removed, with false if it may still
   *     exist
   */
  void remove(String name, Consumer<Boolean> callback) {
    writer.writeBestEffort(new Change.Remove(Keys.provisioningIntent(name)), callback);
  }

  String typeName(MachineGroup group) {
    return catalogue.type(group.type()).name();
  }

  String zoneName(MachineGroup group) {
    return catalogue.zoneName(group.zone());
  }
}
