package org.ploverspindle.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.state.StateStore.Entry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** GEP-24's backoff: the groups that are not asked for after a failed rental, and until when. */
final class GroupBackoffs {
  private static final Logger LOG = LoggerFactory.getLogger(GroupBackoffs.class);

  /** A mark lasts at least this part of the policy's backoff. */
  private static final double LEAST_PART = 0.85;

  /** A mark lasts longer by a random part of the backoff, of up to this. */
  private static final double RANDOM_PART = 0.3;

  /** A recorded mark: zone, spot, milliseconds left. */
  private static final int MARK_FIELDS = 3;

  private final Scheduler scheduler;
  private final Catalogue catalogue;
  private final Policy policy;
  private final RandomGenerator random;
  private final Map<Autoscaler.MachineGroup, Long> untilMs = new HashMap<>();

  GroupBackoffs(Scheduler scheduler, Catalogue catalogue, Policy policy, RandomGenerator random) {
    this.scheduler = scheduler;
    this.catalogue = catalogue;
    this.policy = policy;
    this.random = random;
  }

  void backOff(Autoscaler.MachineGroup g) {
    // Random, as marks that were set together would otherwise end together and all be tried at
    // once.
    long ms =
        Math.round(policy.backoffS() * 1000 * (LEAST_PART + RANDOM_PART * random.nextDouble()));
    untilMs.put(g, scheduler.nowMs() + ms);
  }

  boolean backedOff(Autoscaler.MachineGroup g) {
    return untilMs.getOrDefault(g, Long.MIN_VALUE) > scheduler.nowMs();
  }

  /** The marks of a type that still stand, for the next leader. */
  void record(int type, ArrayNode marks) {
    untilMs.forEach(
        (g, until) -> {
          long leftMs = until - scheduler.nowMs();
          if (g.type() == type && leftMs > 0) {
            marks.add(catalogue.zoneName(g.zone()) + "," + g.spot() + "," + leftMs);
          }
        });
  }

  /** Takes over an earlier leader's marks, for the time that was left when they were recorded. */
  void read(Entry e, Optional<Integer> type) {
    for (JsonNode mark : e.value().path("backoff")) {
      String[] f = mark.asText().split(",", -1);
      Optional<Integer> zone =
          f.length == MARK_FIELDS ? catalogue.zoneIndex(f[0]) : Optional.empty();
      if (type.isEmpty() || zone.isEmpty() || !f[2].matches("\\d{1,9}")) {
        LOG.warn("a backoff mark in {} can't be read", e.key());
        continue;
      }
      long leftMs = Math.min(Long.parseLong(f[2]), Math.round(policy.backoffS() * 1000));
      untilMs.put(
          new Autoscaler.MachineGroup(type.get(), zone.get(), Boolean.parseBoolean(f[1])),
          scheduler.nowMs() + leftMs);
    }
  }
}
