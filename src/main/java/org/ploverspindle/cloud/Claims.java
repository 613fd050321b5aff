package org.ploverspindle.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.ploverspindle.leadership.Term;
import org.ploverspindle.loop.Scheduler;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.placement.Demand;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.LeaderWrites;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.TokenBucket;
import org.ploverspindle.workers.MachineRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rentals by claims. A claim is recorded durably before the cloud is asked, and the cloud is asked
 * under the claim's name until its outcome is known, if need be by the next leader. So no rental is
 * executed twice and no rented machine is lost.
 */
final class Claims {
  private static final Logger LOG = LoggerFactory.getLogger(Claims.class);
  static final int MAX_PER_RENTAL = 50;
  private static final long OPEN_MS = 30_000;

  /** A claim without an answer is asked for again after at least this time. */
  private static final int RETRY_MS = 700;

  /** Random addition to the time above. */
  private static final int RETRY_JITTER_MS = 600;

  private static final int REMOVE_RETRY_MS = 2_000;

  /** Part of what the cloud's rate allows between two scans that one group's rentals may take. */
  private static final double GROUP_SHARE = 0.4;

  /** Part of the state service's changes that one group's claims may take. */
  private static final double RECORDS_SHARE = 0.15;

  private static final class Claim {
    private final String name;
    private final Rentals.Group group;
    private final int count;
    private boolean recorded;
    private final boolean byUs;
    private final long sinceMs;
    private boolean asked;
    private long askedMs;
    private Optional<List<String>> hosts = Optional.empty();
    private boolean removing;

    Claim(String name, Rentals.Group group, int count, boolean recorded, long sinceMs) {
      this.sinceMs = sinceMs;
      this.name = name;
      this.group = group;
      this.count = count;
      this.recorded = recorded;
      this.byUs = !recorded;
    }
  }

  private final Scheduler scheduler;
  private final CloudApi cloud;
  private final Catalogue catalogue;
  private final MachineRegistry fleet;
  private final LeaderWrites writes;
  private final RandomGenerator random;
  private final Term term;
  private final Backoffs backoffs;
  private final TokenBucket budget;
  private final BooleanSupplier mayDecide;

  /**
   * Machines of one group that may be rented in one scan. The design has one rental; a fleet of
   * hundreds would then take minutes to come up, as the cloud rents at most 50 machines at a time.
   */
  private final int mostPerScan;

  private final Map<String, Claim> claims = new LinkedHashMap<>();

  /** Groups whose last rental was refused or partly filled: the next one is a try. */
  private final Set<Rentals.Group> edges = new HashSet<>();

  private long claimCounter;

  Claims(
      Scheduler scheduler,
      CloudApi cloud,
      Catalogue catalogue,
      MachineRegistry fleet,
      LeaderWrites writes,
      Policy policy,
      Settings settings,
      RandomGenerator random,
      Term term,
      Backoffs backoffs,
      TokenBucket budget,
      double callsPerS,
      BooleanSupplier mayDecide) {
    this.scheduler = scheduler;
    this.cloud = cloud;
    this.catalogue = catalogue;
    this.fleet = fleet;
    this.writes = writes;
    this.random = random;
    this.term = term;
    this.backoffs = backoffs;
    this.budget = budget;
    this.mayDecide = mayDecide;
    double calls = callsPerS * policy.scanS() * GROUP_SHARE;
    // Each is recorded before it is asked for, and the leader's other writes must not wait for it.
    double records = settings.writeLimits().writeRps() * policy.scanS() * RECORDS_SHARE;
    this.mostPerScan = MAX_PER_RENTAL * Math.max(1, (int) Math.min(calls, records));
  }

  boolean isEmpty() {
    return claims.isEmpty();
  }

  /**
   * A claim that stands recorded has no answer yet: machines may be rented that nobody knows. After
   * a while of no answers it counts as held and on its way, and others are asked for beside it.
   */
  boolean areOpen() {
    long now = scheduler.nowMs();
    return claims.values().stream()
        .anyMatch(c -> c.recorded && c.hosts.isEmpty() && now - c.sinceMs < OPEN_MS);
  }

  /** What is asked for and not known yet, machine by machine. */
  List<Demand.Coming> coming() {
    List<Demand.Coming> coming = new ArrayList<>();
    for (Claim c : claims.values()) {
      for (int i = 0; c.hosts.isEmpty() && i < c.count; i++) {
        coming.add(new Demand.Coming(c.group.type(), c.group.zone(), c.group.spot()));
      }
    }
    return coming;
  }

  /** Machines of the type in the zone that are asked for and not known yet. */
  int inFlight(int type, int zone) {
    int n = 0;
    for (Claim c : claims.values()) {
      if (c.hosts.isEmpty() && c.group.type() == type && c.group.zone() == zone) {
        n += c.count;
      }
    }
    return n;
  }

  /** An earlier leader's claim: what it rented is learnt by asking for it again. */
  void inherit(Entry e) {
    String name = e.key().substring(Keys.CLAIMS.length());
    JsonNode v = e.value();
    Optional<Integer> type = catalogue.typeIndex(v.path("type").asText());
    Optional<Integer> zone = catalogue.zoneIndex(v.path("zone").asText());
    if (type.isEmpty() || zone.isEmpty() || v.path("count").asInt() < 1) {
      LOG.error("the record {} can't be read and is left as it is", e.key());
      return;
    }
    Rentals.Group group = new Rentals.Group(type.get(), zone.get(), v.path("spot").asBoolean());
    claims.put(name, new Claim(name, group, v.path("count").asInt(), true, scheduler.nowMs()));
  }

  /** Named from token and counter: no other leader, and no later rental of ours, has this name. */
  void rent(Rentals.Group group, int count, String cause) {
    String name = "r-" + term.token() + "-" + ++claimCounter;
    Claim claim = new Claim(name, group, count, false, scheduler.nowMs());
    claims.put(name, claim);
    LOG.info(
        "renting {} {} {} in {} as {}: {}",
        count,
        group.spot() ? "spot" : "ordinary",
        catalogue.type(group.type()).name(),
        catalogue.zoneName(group.zone()),
        name,
        cause);
    ObjectNode v = Cbor.map();
    v.put("type", catalogue.type(group.type()).name());
    v.put("zone", catalogue.zoneName(group.zone()));
    v.put("spot", group.spot());
    v.put("count", count);
    // Durable first: a leader that takes over in between learns from it what may have been rented.
    writes.create(
        new Change.Put(Keys.claim(name), v),
        stands -> {
          if (stands) {
            claim.recorded = true;
            ask(claim);
          } else {
            claims.remove(name);
          }
        });
  }

  /**
   * What one scan may rent of the group. After a refusal one rental is asked for before more: five
   * at once were refused together, and their ten records held up a second's placements.
   */
  int most(Rentals.Group g) {
    return edges.contains(g) ? MAX_PER_RENTAL : mostPerScan;
  }

  private void ask(Claim claim) {
    if (claim.asked || !mayDecide.getAsBoolean() || !budget.tryTake(1)) {
      return;
    }
    claim.asked = true;
    claim.askedMs = scheduler.nowMs();
    Rentals.Group g = claim.group;
    cloud.rent(
        claim.name,
        catalogue.type(g.type()).name(),
        catalogue.zoneName(g.zone()),
        g.spot(),
        claim.count,
        result -> {
          if (result instanceof CloudApi.RentResult.Rented rented) {
            rented(claim, rented.hosts());
          } else if (result instanceof CloudApi.RentResult.Malformed) {
            // Asked for again for ever, it would keep all other rentals waiting.
            LOG.error("the cloud does not take {} as it is: {} backs off", claim.name, g);
            edges.add(g);
            backoffs.backOff(g);
            removeClaim(claim);
          } else if (result instanceof CloudApi.RentResult.NoCapacity) {
            LOG.info("no capacity for {}", claim.name);
            edges.add(g);
            backoffs.backOff(g);
            removeClaim(claim);
          } else {
            // No answer, or a refusal: the same claim is asked for again, which rents once at most.
            scheduler.schedule(
                RETRY_MS + random.nextInt(RETRY_JITTER_MS), () -> claim.asked = false);
          }
        });
  }

  private void rented(Claim claim, List<String> hosts) {
    claim.hosts = Optional.of(hosts);
    Rentals.Group g = claim.group;
    if (hosts.size() < claim.count) {
      edges.add(g);
      backoffs.backOff(g);
    } else {
      edges.remove(g);
    }
    for (String id : hosts) {
      if (!fleet.wasReleased(id)) {
        fleet
            .adopt(
                id,
                catalogue.type(g.type()).name(),
                catalogue.zoneName(g.zone()),
                g.spot(),
                scheduler.nowMs())
            .filter(m -> claim.byUs)
            .ifPresent(m -> m.rentedAt(claim.askedMs));
      }
    }
  }

  /** Asks for what has no answer yet, and drops the records of what is known by now. */
  void pursue() {
    for (Claim c : List.copyOf(claims.values())) {
      if (c.recorded && c.hosts.isEmpty()) {
        ask(c);
      } else if (c.hosts.isPresent() && c.hosts.get().stream().allMatch(this::seen)) {
        removeClaim(c);
      }
    }
  }

  private boolean seen(String id) {
    return fleet.get(id).map(m -> m.up() || m.listed()).orElse(true);
  }

  private void removeClaim(Claim claim) {
    if (claim.removing || !mayDecide.getAsBoolean()) {
      return;
    }
    claim.removing = true;
    writes.tell(
        new Change.Remove(Keys.claim(claim.name)),
        gone -> {
          if (gone) {
            claims.remove(claim.name);
          } else {
            scheduler.schedule(REMOVE_RETRY_MS, () -> claim.removing = false);
            if (claim.hosts.isEmpty()) {
              claim.hosts = Optional.of(List.of());
            }
          }
        });
  }
}
