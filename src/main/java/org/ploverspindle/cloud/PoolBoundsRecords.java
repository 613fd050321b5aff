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
 * The stored bounds and group backoffs of each machine type's pool, one record a type. A loss costs
 * only time: the next leader computes the bounds anew and tries groups that were backed off.
 */
final class PoolBoundsRecords {
  private final Catalogue catalogue;
  private final GroupBackoffs backoffs;
  private final LeaderWriter writer;
  private final int maxValueBytes;

  /** The values last written or read, by key: an unchanged record is not written again. */
  private final Map<String, JsonNode> written = new HashMap<>();

  /**
   * @param maxValueBytes the state service's limit for one value
   */
  PoolBoundsRecords(
      Catalogue catalogue, GroupBackoffs backoffs, LeaderWriter writer, int maxValueBytes) {
    this.catalogue = catalogue;
    this.backoffs = backoffs;
    this.writer = writer;
    this.maxValueBytes = maxValueBytes;
  }

  /** Takes over the backoffs that an earlier leader recorded. */
  void inherit(Entry entry) {
    written.put(entry.key(), entry.value());
    backoffs.inherit(entry, catalogue.typeIndex(entry.key().substring(Keys.BOUNDS.length())));
  }

  /**
   * Records a type's bounds, in the order of the zones, with its groups' backoffs, if they changed.
   */
  void record(int type, List<AdaptiveSizing.Bounds> bounds) {
    ObjectNode value = encode(type, bounds);
    if (Cbor.jsonSize(value) > maxValueBytes) {
      // Known to this leader alone: the next one begins without, as after a long outage.
      return;
    }
    String key = Keys.bounds(catalogue.type(type).name());
    if (value.equals(written.get(key)) || !writer.hasSpareBudget()) {
      return;
    }
    written.put(key, value);
    writer.writeBestEffort(
        new Change.Put(key, value),
        succeeded -> {
          if (!succeeded) {
            written.remove(key);
          }
        });
  }

  /** The record's value; without the backoffs where it would be too large with them. */
  private ObjectNode encode(int type, List<AdaptiveSizing.Bounds> bounds) {
    ObjectNode value = Cbor.map();
    ArrayNode byZone = value.putArray("bounds");
    for (int zone = 0; zone < bounds.size(); zone++) {
      AdaptiveSizing.Bounds ofZone = bounds.get(zone);
      byZone.add(catalogue.zoneName(zone) + "," + ofZone.min() + "," + ofZone.max());
    }
    backoffs.encode(type, value.putArray("backoff"));
    if (Cbor.jsonSize(value) > maxValueBytes) {
      value.remove("backoff");
    }
    return value;
  }
}
