package org.ploverspindle.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.sizing.AdaptiveSizing;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.LeaderWriter;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Entry;

/**
 * Stores the bounds and the group backoffs of each pool, in one record for each machine type. The
 * loss of a record only costs time: the next leader computes the bounds again, and sends requests
 * for groups that were backed off.
 */
final class PoolBoundsRecords {
  private final Catalogue catalogue;
  private final GroupBackoffs backoffs;
  private final LeaderWriter writer;
  private final int maxValueBytes;

  /**
   * The value last written or read of each record, by key. A record whose value is unchanged is not
   * written again.
   */
  private final Map<String, JsonNode> lastValues = new HashMap<>();

  /**
   * @param maxValueBytes the state service's limit for the size of one value
   */
  PoolBoundsRecords(
      Catalogue catalogue, GroupBackoffs backoffs, LeaderWriter writer, int maxValueBytes) {
    this.catalogue = catalogue;
    this.backoffs = backoffs;
    this.writer = writer;
    this.maxValueBytes = maxValueBytes;
  }

  /** Inherits the group backoffs of a record that an earlier leader wrote. */
  void inherit(Entry entry) {
    lastValues.put(entry.key(), entry.value());
    backoffs.inherit(entry, catalogue.typeIndex(entry.key().substring(Keys.POOL_BOUNDS.length())));
  }

  /**
   * Writes a machine type's record, unless its value is unchanged or the state service has no spare
   * write budget.
   *
   * @param bounds the bounds of the type's groups, in the order of the zones
   */
  void record(int type, List<AdaptiveSizing.Bounds> bounds) {
    ObjectNode value = encode(type, bounds);
    if (Cbor.jsonSize(value) > maxValueBytes) {
      // Even without the backoffs the record is too large to be written. The next leader begins
      // without it, as after a long outage.
      return;
    }
    String key = Keys.poolBounds(catalogue.type(type).name());
    if (value.equals(lastValues.get(key)) || !writer.hasSpareBudget()) {
      return;
    }
    lastValues.put(key, value);
    writer.writeBestEffort(
        new Change.Put(key, value),
        succeeded -> {
          if (!succeeded) {
            lastValues.remove(key);
          }
        });
  }

  /** Encodes a record's value. The backoffs are left out if the value would be too large. */
  private ObjectNode encode(int type, List<AdaptiveSizing.Bounds> bounds) {
    ObjectNode value = Cbor.map();
    ArrayNode byZone = value.putArray("bounds");
    for (int zone = 0; zone < bounds.size(); zone++) {
      AdaptiveSizing.Bounds zoneBounds = bounds.get(zone);
      byZone.add(catalogue.zoneName(zone) + "," + zoneBounds.min() + "," + zoneBounds.max());
    }
    backoffs.encode(type, value.putArray("backoff"));
    if (Cbor.jsonSize(value) > maxValueBytes) {
      value.remove("backoff");
    }
    return value;
  }
}
