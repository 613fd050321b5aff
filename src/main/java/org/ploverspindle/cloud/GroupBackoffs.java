package org.ploverspindle.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.placement.MachineGroup;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.state.StateStore.Entry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** GEP-24's backoff: which groups get no request after a failed one, and until when. */
final class GroupBackoffs {
  private static final Logger LOG = LoggerFactory.getLogger(GroupBackoffs.class);

  /** A backoff lasts at least this part of the policy's time. */
  private static final double MIN_PART = 0.85;

  /** A backoff lasts longer by a random part of the policy's time, of up to this. */
  private static final double RANDOM_PART = 0.3;

  /** Fields of a recorded backoff: zone, spot, milliseconds left. */
  private static final int RECORDED_FIELDS = 3;

  private static final double MS_PER_S = 1_000;

  private final Scheduler scheduler;
  private final Catalogue catalogue;
  private final Policy policy;
  private final RandomGenerator random;

  /** When the backoff of each group ends, on the steady clock. */
  private final Map<MachineGroup, Long> untilMs = new HashMap<>();

  GroupBackoffs(Scheduler scheduler, Catalogue catalogue, Policy policy, RandomGenerator random) {
    this.scheduler = scheduler;
    this.catalogue = catalogue;
    this.policy = policy;
    this.random = random;
  }

  /** The group gets no request for the policy's time, somewhat varied at random. */
  void backOff(MachineGroup group) {
    // Backoffs that began together would otherwise end together, and all groups be tried at once.
    double part = MIN_PART + RANDOM_PART * random.nextDouble();
    untilMs.put(group, scheduler.nowMs() + Math.round(policy.backoffS() * MS_PER_S * part));
  }

  boolean isBackedOff(MachineGroup group) {
    return untilMs.getOrDefault(group, Long.MIN_VALUE) > scheduler.nowMs();
  }

  /** Adds the backoffs of a type that have not ended to its record, for the next leader. */
  void encode(int type, ArrayNode recorded) {
    untilMs.forEach(
        (group, endMs) -> {
          long leftMs = endMs - scheduler.nowMs();
          if (group.type() == type && leftMs > 0) {
            recorded.add(catalogue.zoneName(group.zone()) + "," + group.spot() + "," + leftMs);
          }
        });
  }

  /**
   * Takes over an earlier leader's backoffs, for the time that was left when they were recorded.
   *
   * @param type empty when the record's type is unknown
   */
  void inherit(Entry entry, Optional<Integer> type) {
    for (JsonNode recorded : entry.value().path("backoff")) {
      if (type.isEmpty() || !inherit(type.get(), recorded.asText())) {
        LOG.warn("unreadable group backoff ignored: key={} value={}", entry.key(), recorded);
      }
    }
  }

  private boolean inherit(int type, String recorded) {
    String[] fields = recorded.split(",", -1);
    Optional<Integer> zone =
        fields.length == RECORDED_FIELDS ? catalogue.zoneIndex(fields[0]) : Optional.empty();
    if (zone.isEmpty() || !fields[2].matches("\\d{1,9}")) {
      return false;
    }
    long maxMs = Math.round(policy.backoffS() * MS_PER_S);
    long leftMs = Math.min(Long.parseLong(fields[2]), maxMs);
    MachineGroup group = new MachineGroup(type, zone.get(), Boolean.parseBoolean(fields[1]));
    untilMs.put(group, scheduler.nowMs() + leftMs);
    return true;
  }
}
