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

/**
 * The backoffs of GEP-24: after a failed provisioning request, a group gets no further request
 * until its backoff ends.
 */
final class GroupBackoffs {
  private static final Logger LOG = LoggerFactory.getLogger(GroupBackoffs.class);

  /** Shortest duration of a backoff, as a multiple of the policy's backoff time. */
  private static final double MIN_DURATION_FACTOR = 0.85;

  /**
   * Exclusive upper bound of the random time that is added to the shortest duration, as a multiple
   * of the policy's backoff time.
   */
  private static final double RANDOM_DURATION_FACTOR = 0.3;

  /**
   * Number of the comma-separated fields of a recorded backoff: the zone's name, whether the group
   * is spot, and the milliseconds until the backoff ends.
   */
  private static final int RECORDED_FIELD_COUNT = 3;

  private static final double MS_PER_S = 1_000;

  private final Scheduler scheduler;
  private final Catalogue catalogue;
  private final Policy policy;
  private final RandomGenerator random;

  /** When the backoff of each group ends, in milliseconds on the steady clock. */
  private final Map<MachineGroup, Long> backoffEndMs = new HashMap<>();

  GroupBackoffs(Scheduler scheduler, Catalogue catalogue, Policy policy, RandomGenerator random) {
    this.scheduler = scheduler;
    this.catalogue = catalogue;
    this.policy = policy;
    this.random = random;
  }

  /** Backs the group off for the policy's backoff time, varied at random. */
  void backOff(MachineGroup group) {
    // Without the variation, backoffs that begin together would end together, and requests for all
    // these groups would be sent at once.
    double durationFactor = MIN_DURATION_FACTOR + RANDOM_DURATION_FACTOR * random.nextDouble();
    backoffEndMs.put(
        group, scheduler.nowMs() + Math.round(policy.backoffS() * MS_PER_S * durationFactor));
  }

  /** Whether the group gets no request now. */
  boolean isBackedOff(MachineGroup group) {
    return backoffEndMs.getOrDefault(group, Long.MIN_VALUE) > scheduler.nowMs();
  }

  /**
   * Adds the backoffs of a machine type's groups that have not ended to the type's record, for the
   * next leader.
   */
  void encode(int type, ArrayNode recorded) {
    backoffEndMs.forEach(
        (group, endMs) -> {
          long remainingMs = endMs - scheduler.nowMs();
          if (group.type() == type && remainingMs > 0) {
            recorded.add(catalogue.zoneName(group.zone()) + "," + group.spot() + "," + remainingMs);
          }
        });
  }

  /**
   * Inherits an earlier leader's backoffs. Each lasts for the time that was left when it was
   * recorded, but no longer than the policy's backoff time. Unreadable backoffs are ignored.
   *
   * @param type index of the record's machine type in the catalogue; empty if the catalogue does
   *     not contain it
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
        fields.length == RECORDED_FIELD_COUNT ? catalogue.zoneIndex(fields[0]) : Optional.empty();
    if (zone.isEmpty() || !fields[2].matches("\\d{1,9}")) {
      return false;
    }
    long maxMs = Math.round(policy.backoffS() * MS_PER_S);
    long remainingMs = Math.min(Long.parseLong(fields[2]), maxMs);
    MachineGroup group = new MachineGroup(type, zone.get(), Boolean.parseBoolean(fields[1]));
    backoffEndMs.put(group, scheduler.nowMs() + remainingMs);
    return true;
  }
}
