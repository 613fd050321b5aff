package org.ploverspindle.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.ploverspindle.leadership.Term;
import org.ploverspindle.loop.Cancellable;
import org.ploverspindle.loop.Scheduler;
import org.ploverspindle.loop.Scope;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.placement.Demand;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.sizing.AdaptiveSizing;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.LeaderWrites;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.TokenBucket;
import org.ploverspindle.state.TypesRecord;
import org.ploverspindle.workers.Fleet;
import org.ploverspindle.workers.Machine;
import org.ploverspindle.workers.Placement;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A leader's dealings with the cloud: scans, rentals by durable claims, returns, and the list. */
public final class Rentals {
  private static final Logger LOG = LoggerFactory.getLogger(Rentals.class);
  private static final int MAX_PER_RENTAL = 50;
  private static final int MAX_PER_RELEASE = 100;

  /** Part of what the cloud's rate allows between two scans that one group's rentals may take. */
  private static final double GROUP_SHARE = 0.4;

  /** Part of the state service's changes that one group's claims may take. */
  private static final double RECORDS_SHARE = 0.15;

  /** Below the cloud's rate: what it counts as a second is not what we do. */
  private static final double CLOUD_SHARE = 0.75;

  private static final double QUIET_IDLE_S = 8;
  private static final long RETIRING_IDLE_MS = 2_000;

  /** For how many leases, in milliseconds of lease seconds, a machine may be deaf. */
  private static final double DEAF_LEASES = 3_000;

  /** A type's machines of one kind in one zone. */
  record Group(int type, int zone, boolean spot) {
    static Group of(Machine m) {
      return new Group(m.type(), m.zone(), m.spot());
    }
  }

  /** What the rest of the leader has to do with rentals. */
  public interface Host {
    /** What to rent, given what may be rented and what is on its way. */
    List<Demand.Wanted> wanted(List<Demand.Offer> offers, List<Demand.Coming> coming);

    /** True when jobs have stopped coming: idle machines wait for nobody. */
    boolean quiet();

    /**
     * For idle machines, one after the other: true when it is not needed as room for the next
     * pressing job, given those that were said to be spare before.
     */
    Predicate<Machine> spare();

    /** For one machine after the other: true when work waits that could be put on it. */
    Predicate<Machine> needed();

    /** Tasks that went with a machine. */
    void lost(List<Placement> placements);

    boolean mayDecide();
  }

  private static final class Claim {
    private final String name;
    private final Group group;
    private final int count;
    private boolean recorded;
    private final boolean byUs;
    private boolean asked;
    private long askedMs;
    private Optional<List<String>> hosts = Optional.empty();
    private boolean removing;

    Claim(String name, Group group, int count, boolean recorded) {
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
  private final Fleet fleet;
  private final Replica replica;
  private final LeaderWrites writes;
  private final Policy policy;
  private final Settings settings;
  private final RandomGenerator random;
  private final Term term;
  private final Host host;
  private final TokenBucket budget;

  /**
   * Machines of one group that may be rented in one scan. The design has one rental; a fleet of
   * hundreds would then take minutes to come up, as the cloud rents at most 50 machines at a time.
   */
  private final int mostPerScan;

  private final Map<String, Claim> claims = new LinkedHashMap<>();
  private final Map<Group, Long> backoffUntilMs = new HashMap<>();

  /** Groups whose last rental was refused or partly filled: the next one is a try. */
  private final Set<Group> edges = new HashSet<>();

  private final Boots boots;
  private final Map<String, JsonNode> writtenBounds = new HashMap<>();
  private final Map<String, Integer> missedLists = new HashMap<>();
  private final Scope duties = new Scope();
  private long claimCounter;
  private boolean listedOnce;
  private boolean inherited;
  private boolean listing;
  private boolean releaseBusy;
  private boolean typesBusy;
  private boolean typesRecorded;

  public Rentals(
      Scheduler scheduler,
      CloudApi cloud,
      Catalogue catalogue,
      Fleet fleet,
      Replica replica,
      LeaderWrites writes,
      Policy policy,
      Settings settings,
      RandomGenerator random,
      Term term,
      Host host) {
    this.scheduler = scheduler;
    this.cloud = cloud;
    this.catalogue = catalogue;
    this.fleet = fleet;
    this.replica = replica;
    this.writes = writes;
    this.policy = policy;
    this.settings = settings;
    this.random = random;
    this.term = term;
    this.host = host;
    double rps = settings.cloudLimits().rps();
    // Listing leaves one call for a rental: with room for one call alone it would never begin, and
    // nothing is rented before the first list.
    this.budget = new TokenBucket(scheduler, rps * CLOUD_SHARE, Math.max(2, rps));
    double calls = rps * CLOUD_SHARE * policy.scanS() * GROUP_SHARE;
    // Each is recorded before it is asked for, and the leader's other writes must not wait for it.
    double records = settings.stateLimits().writeRps() * policy.scanS() * RECORDS_SHARE;
    this.boots = new Boots(catalogue);
    this.mostPerScan = MAX_PER_RENTAL * Math.max(1, (int) Math.min(calls, records));
  }

  public Cancellable start() {
    for (Entry e : replica.under(Keys.CLAIMS).values()) {
      inherit(e);
    }
    readMarks();
    long listMs = Math.max(2_500, Math.round(settings.cloudLimits().listLagS() * 500));
    duties.add(scheduler.every(listMs, this::list));
    duties.add(scheduler.every(Math.round(policy.scanS() * 1000), this::scan));
    duties.add(scheduler.every(1_000, this::returns));
    duties.add(scheduler.every(60_000, this::refreshTypes));
    duties.add(scheduler.every(500, this::pursueClaims));
    list();
    refreshTypes();
    return duties;
  }

  /** The next scan need not be waited for: nothing is up and work waits. */
  public void scanSoon() {
    if (listedOnce && claims.isEmpty() && fleet.all().isEmpty()) {
      scan();
    }
  }

  // ---- claims

  private void inherit(Entry e) {
    String name = e.key().substring(Keys.CLAIMS.length());
    JsonNode v = e.value();
    Optional<Integer> type = catalogue.typeIndex(v.path("type").asText());
    Optional<Integer> zone = catalogue.zoneIndex(v.path("zone").asText());
    if (type.isEmpty() || zone.isEmpty() || v.path("count").asInt() < 1) {
      LOG.error("the record {} can't be read and is left as it is", e.key());
      return;
    }
    Group group = new Group(type.get(), zone.get(), v.path("spot").asBoolean());
    claims.put(name, new Claim(name, group, v.path("count").asInt(), true));
    inherited = true;
  }

  /** Named from token and counter: no other leader, and no later rental of ours, has this name. */
  private void rent(Group group, int count, String cause) {
    String name = "r-" + term.token() + "-" + ++claimCounter;
    Claim claim = new Claim(name, group, count, false);
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
  private int most(Group g) {
    return edges.contains(g) ? MAX_PER_RENTAL : mostPerScan;
  }

  private void ask(Claim claim) {
    if (claim.asked || !host.mayDecide() || !budget.tryTake(1)) {
      return;
    }
    claim.asked = true;
    claim.askedMs = scheduler.nowMs();
    Group g = claim.group;
    cloud.rent(
        claim.name,
        catalogue.type(g.type()).name(),
        catalogue.zoneName(g.zone()),
        g.spot(),
        claim.count,
        result -> {
          if (result instanceof CloudApi.RentResult.Rented rented) {
            rented(claim, rented.hosts());
          } else if (result instanceof CloudApi.RentResult.NoCapacity) {
            LOG.info("no capacity for {}", claim.name);
            edges.add(g);
            backOff(g);
            removeClaim(claim);
          } else {
            // No answer, or a refusal: the same claim is asked for again, which rents once at most.
            scheduler.schedule(700 + random.nextInt(600), () -> claim.asked = false);
          }
        });
  }

  private void rented(Claim claim, List<String> hosts) {
    claim.hosts = Optional.of(hosts);
    Group g = claim.group;
    if (hosts.size() < claim.count) {
      edges.add(g);
      backOff(g);
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

  private void pursueClaims() {
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
    if (claim.removing || !host.mayDecide()) {
      return;
    }
    claim.removing = true;
    writes.tell(
        new Change.Remove(Keys.claim(claim.name)),
        gone -> {
          if (gone) {
            claims.remove(claim.name);
          } else {
            scheduler.schedule(2_000, () -> claim.removing = false);
            if (claim.hosts.isEmpty()) {
              claim.hosts = Optional.of(List.of());
            }
          }
        });
  }

  private void backOff(Group g) {
    // Spread out: marks that were set together would otherwise end together, and all be tried at
    // once.
    long ms = Math.round(policy.backoffS() * 1000 * (0.85 + 0.3 * random.nextDouble()));
    backoffUntilMs.put(g, scheduler.nowMs() + ms);
  }

  private boolean backedOff(Group g) {
    return backoffUntilMs.getOrDefault(g, Long.MIN_VALUE) > scheduler.nowMs();
  }

  // ---- the scan

  private int inFlight(int type, int zone) {
    int n = 0;
    for (Claim c : claims.values()) {
      if (c.hosts.isEmpty() && c.group.type() == type && c.group.zone() == zone) {
        n += c.count;
      }
    }
    return n;
  }

  private List<AdaptiveSizing.Bounds> bounds(int type, List<AdaptiveSizing.Group> groups) {
    Policy.PoolBounds pool = policy.pool(catalogue.type(type).name());
    return AdaptiveSizing.bounds(pool.min(), pool.max(), groups);
  }

  private List<AdaptiveSizing.Group> groups(int type) {
    int[] held = new int[catalogue.zoneCount()];
    for (Machine m : fleet.all()) {
      if (m.type() == type && !m.releasing()) {
        held[m.zone()]++;
      }
    }
    List<AdaptiveSizing.Group> groups = new ArrayList<>();
    for (int z = 0; z < held.length; z++) {
      boolean bad = backedOff(new Group(type, z, true)) && backedOff(new Group(type, z, false));
      groups.add(new AdaptiveSizing.Group(held[z] + inFlight(type, z), bad));
    }
    return groups;
  }

  private boolean rebuilt() {
    if (!listedOnce || claims.values().stream().anyMatch(c -> c.recorded && c.hosts.isEmpty())) {
      return false;
    }
    // Machines report in their own time: before most did, room that exists would be rented again.
    // Where no earlier leader left any there is nothing to wait for, and work waits for the first.
    long settledMs = term.startMs() + Math.round(settings.workers().reportS() * 1250) + 1_500;
    return !inherited || scheduler.nowMs() >= settledMs;
  }

  private void scan() {
    if (!host.mayDecide() || !rebuilt()) {
      return;
    }
    boots.look(fleet.all(), scheduler.nowMs());
    List<Demand.Offer> offers = new ArrayList<>();
    Map<Group, Integer> forMinimum = new LinkedHashMap<>();
    for (int t = 0; t < catalogue.types().size(); t++) {
      List<AdaptiveSizing.Group> groups = groups(t);
      List<AdaptiveSizing.Bounds> bounds = bounds(t, groups);
      recordBounds(t, bounds);
      for (int z = 0; z < groups.size(); z++) {
        if (!catalogue.type(t).zones().contains(catalogue.zoneName(z))) {
          continue;
        }
        int room = bounds.get(z).max() - groups.get(z).held();
        offer(offers, new Group(t, z, true), room, groups.get(z).held());
        offer(offers, new Group(t, z, false), room, groups.get(z).held());
        int missing = Math.min(room, bounds.get(z).min() - groups.get(z).held());
        if (missing > 0) {
          // The minimum stands for what the pool must always have: ordinary machines where
          // possible.
          boolean spot = backedOff(new Group(t, z, false));
          forMinimum.put(new Group(t, z, spot), missing);
        }
      }
    }
    Map<Group, Integer> toRent = new LinkedHashMap<>(forMinimum);
    List<Demand.Coming> coming = coming();
    forMinimum.forEach(
        (g, n) -> {
          for (int i = 0; i < n; i++) {
            coming.add(new Demand.Coming(g.type(), g.zone(), g.spot()));
          }
        });
    for (Demand.Wanted w : host.wanted(offers, coming)) {
      toRent.merge(new Group(w.type(), w.zone(), w.spot()), w.count(), Integer::sum);
    }
    toRent.forEach(
        (g, n) -> {
          int left = Math.min(n, most(g));
          for (; left > 0; left -= MAX_PER_RENTAL) {
            rent(g, Math.min(MAX_PER_RENTAL, left), "work waits or a minimum is open");
          }
        });
  }

  private void offer(List<Demand.Offer> offers, Group g, int room, int held) {
    if (room > 0 && !backedOff(g)) {
      offers.add(
          new Demand.Offer(
              g.type(), g.zone(), g.spot(), Math.min(room, most(g)), held, boots.areBad(g)));
    }
  }

  /** Machines that boot as expected, and rentals in flight. */
  private List<Demand.Coming> coming() {
    List<Demand.Coming> coming = new ArrayList<>();
    long now = scheduler.nowMs();
    for (Machine m : fleet.all()) {
      if (!m.up() && !m.releasing() && !boots.isOverdue(m, now)) {
        coming.add(new Demand.Coming(m.type(), m.zone(), m.spot()));
      }
    }
    for (Claim c : claims.values()) {
      for (int i = 0; c.hosts.isEmpty() && i < c.count; i++) {
        coming.add(new Demand.Coming(c.group.type(), c.group.zone(), c.group.spot()));
      }
    }
    return coming;
  }

  private void recordBounds(int type, List<AdaptiveSizing.Bounds> bounds) {
    ObjectNode v = Cbor.map();
    ArrayNode list = v.putArray("bounds");
    for (int z = 0; z < bounds.size(); z++) {
      list.add(catalogue.zoneName(z) + "," + bounds.get(z).min() + "," + bounds.get(z).max());
    }
    ArrayNode marks = v.putArray("backoff");
    backoffUntilMs.forEach(
        (g, until) -> {
          long leftMs = until - scheduler.nowMs();
          if (g.type() == type && leftMs > 0) {
            marks.add(catalogue.zoneName(g.zone()) + "," + g.spot() + "," + leftMs);
          }
        });
    String key = Keys.bounds(catalogue.type(type).name());
    if (!v.equals(writtenBounds.get(key)) && writes.spare()) {
      writtenBounds.put(key, v);
      writes.tell(
          new Change.Put(key, v),
          ok -> {
            if (!ok) {
              writtenBounds.remove(key);
            }
          });
    }
  }

  /** Backoffs of an earlier leader go on for what was left when they were recorded. */
  private void readMarks() {
    for (Entry e : replica.under(Keys.BOUNDS).values()) {
      Optional<Integer> type = catalogue.typeIndex(e.key().substring(Keys.BOUNDS.length()));
      writtenBounds.put(e.key(), e.value());
      for (JsonNode mark : e.value().path("backoff")) {
        String[] f = mark.asText().split(",", -1);
        Optional<Integer> zone = f.length == 3 ? catalogue.zoneIndex(f[0]) : Optional.empty();
        if (type.isEmpty() || zone.isEmpty() || !f[2].matches("\\d{1,9}")) {
          LOG.warn("a backoff mark in {} can't be read", e.key());
          continue;
        }
        long leftMs = Math.min(Long.parseLong(f[2]), Math.round(policy.backoffS() * 1000));
        backoffUntilMs.put(
            new Group(type.get(), zone.get(), Boolean.parseBoolean(f[1])),
            scheduler.nowMs() + leftMs);
      }
    }
  }

  // ---- returns

  private void returns() {
    if (!host.mayDecide() || releaseBusy) {
      return;
    }
    long now = scheduler.nowMs();
    List<Machine> back = new ArrayList<>();
    Map<Integer, List<AdaptiveSizing.Group>> groups = new HashMap<>();
    int[][] idleReturned = new int[catalogue.types().size()][catalogue.zoneCount()];
    // Made once for all machines: each looks at all jobs or all machines.
    Predicate<Machine> needed = host.needed();
    Predicate<Machine> spare = host.spare();
    for (Machine m : fleet.all()) {
      if (back.size() >= MAX_PER_RELEASE) {
        break;
      }
      if (mustGo(m, now)) {
        back.add(m);
      } else if (idle(m, now, needed, spare)) {
        List<AdaptiveSizing.Group> all = groups.computeIfAbsent(m.type(), this::groups);
        int held = all.get(m.zone()).held() - idleReturned[m.type()][m.zone()];
        if (held - 1 >= bounds(m.type(), all).get(m.zone()).min()) {
          idleReturned[m.type()][m.zone()]++;
          back.add(m);
        }
      }
    }
    if (!back.isEmpty() && budget.tryTake(1)) {
      release(back);
    }
  }

  private boolean idle(Machine m, long now, Predicate<Machine> needed, Predicate<Machine> spare) {
    if (!m.up() || !m.empty() || m.releasing()) {
      return false;
    }
    if (m.retiring()) {
      return now - m.emptySinceMs() >= RETIRING_IDLE_MS;
    }
    double waitS = host.quiet() ? Math.min(policy.idleS(), QUIET_IDLE_S) : policy.idleS();
    // Work may wait for a machine that has only just come up, or whose jobs are put off.
    return now - m.emptySinceMs() >= waitS * 1000 && !needed.test(m) && spare.test(m);
  }

  /** Machines that are of no use any more, whatever the bounds say. */
  private boolean mustGo(Machine m, long now) {
    if (m.releasing()) {
      return true;
    }
    if (m.empty() && (m.draining() || m.recalled())) {
      return true;
    }
    if (!m.up()) {
      // One that an earlier leader knew may be up and cut off: its lease must be over as well.
      boolean silent = now - term.startMs() > fleet.leaseOverMs(m) - m.knownSinceMs();
      if (boots.isStuck(m, now) && silent && m.placements().isEmpty()) {
        LOG.info(
            "machine {} has not come up in {} s: it is returned, and its group backs off",
            m.host(),
            (now - m.bootingSinceMs()) / 1000);
        backOff(Group.of(m));
        return true;
      }
      return false;
    }
    if (m.empty() && isDeaf(m, now)) {
      return true;
    }
    return now > fleet.leaseOverMs(m) + 15_000 && m.empty() && mostReport(now);
  }

  /**
   * It reports and nothing we say reaches it: paid for and of no use. When many are like that, it
   * is our own line that is broken.
   */
  private boolean isDeaf(Machine m, long now) {
    if (m.deafSinceMs() < 0 || now - m.deafSinceMs() < settings.workers().leaseS() * DEAF_LEASES) {
      return false;
    }
    long deaf = fleet.all().stream().filter(x -> x.deafSinceMs() >= 0).count();
    return deaf * 2 <= fleet.all().size();
  }

  /** When most machines are silent, it is we who are cut off, not they who died. */
  private boolean mostReport(long now) {
    int up = 0;
    int heard = 0;
    for (Machine m : fleet.all()) {
      if (m.up()) {
        up++;
        heard += now - m.lastReportMs() < settings.workers().leaseS() * 1000 ? 1 : 0;
      }
    }
    return heard * 2 >= up;
  }

  private void release(List<Machine> back) {
    releaseBusy = true;
    List<String> ids = new ArrayList<>();
    for (Machine m : back) {
      m.releasing(true);
      ids.add(m.host());
    }
    LOG.info("returning {}", ids);
    cloud.release(
        ids,
        gone -> {
          releaseBusy = false;
          if (gone) {
            for (Machine m : back) {
              host.lost(fleet.released(m, scheduler.nowMs()));
            }
          }
        });
  }

  // ---- the list

  private void list() {
    if (!listing && host.mayDecide() && budget.available() >= 2 && budget.tryTake(1)) {
      listing = true;
      page("", new HashSet<>());
    }
  }

  private void page(String after, Set<String> seen) {
    cloud.hosts(
        after,
        answer -> {
          if (answer.isEmpty()) {
            listing = false;
            return;
          }
          String last = after;
          for (CloudApi.Host h : answer.get().hosts()) {
            seen.add(h.id());
            last = h.id();
            listed(h);
          }
          if (answer.get().hasNext() && !answer.get().hosts().isEmpty()) {
            String next = last;
            budget.take(1);
            page(next, seen);
          } else {
            listing = false;
            unlisted(seen);
            boolean first = !listedOnce;
            listedOnce = true;
            inherited |= first && !fleet.all().isEmpty();
            if (first) {
              scan();
            }
          }
        });
  }

  private void listed(CloudApi.Host h) {
    Optional<Machine> m = fleet.adopt(h.id(), h.type(), h.zone(), h.spot(), scheduler.nowMs());
    m.ifPresent(
        machine -> {
          machine.listedAt(scheduler.nowMs());
          if (h.status() == CloudApi.HostStatus.BOOTING && !machine.up()) {
            // The list is older than now by its lag, so this is not before the rental.
            machine.rentedAt(scheduler.nowMs() - Math.round(h.ageS() * 1000));
          }
          machine.addressListed(h.address());
          if (h.status() == CloudApi.HostStatus.FAILED && !machine.releasing()) {
            // It has stopped by itself; the answer to its release proves that all on it is gone.
            machine.releasing(true);
          }
        });
  }

  /**
   * The list lags and can go back, so a machine that it no longer shows is dropped only when its
   * lease is over as well, and only after several lists in a row.
   */
  private void unlisted(Set<String> seen) {
    long now = scheduler.nowMs();
    for (Machine m : List.copyOf(fleet.all())) {
      if (seen.contains(m.host())) {
        missedLists.remove(m.host());
        continue;
      }
      int missed = missedLists.merge(m.host(), 1, Integer::sum);
      if (!m.releasing() && isGone(m, now)) {
        LOG.info("machine {} is silent and no longer listed: taken", m.host());
        m.releasing(true);
      }
      boolean old = now - m.knownSinceMs() > settings.cloudLimits().listLagS() * 2_500 + 5_000;
      if (missed >= 3 && old && m.empty() && now > fleet.leaseOverMs(m)) {
        LOG.info("machine {} is neither listed nor heard of: dropped", m.host());
        missedLists.remove(m.host());
        fleet.drop(m);
      }
    }
  }

  /**
   * Silent, and missing from a list that can't be from before it was listed: "once listed, a
   * machine stays listed until it is gone". The list alone proves nothing here either, but
   * returning such a machine costs nothing, and the answer to that is the proof, many seconds
   * before its lease ends: for a wave of spot machines that are taken without notice.
   */
  private boolean isGone(Machine m, long now) {
    long oldestListMs = Math.round(settings.cloudLimits().listLagS() * 2_000) + 1_000;
    long silenceMs = Math.round(settings.workers().reportS() * 1_250) + 1_500;
    // One that an earlier leader placed tasks on was rented before this term, if it was not listed.
    long listedMs = m.listed() ? m.listedSinceMs() : term.startMs() + oldestListMs;
    long heardMs = m.up() ? m.lastReportMs() : Math.max(m.knownSinceMs(), term.startMs());
    boolean recorded = m.listed() || m.lastKnownTenure() > 0 && m.knownSinceMs() <= term.startMs();
    return recorded && now - listedMs > oldestListMs && now - heardMs > silenceMs;
  }

  private void refreshTypes() {
    if (typesBusy || !budget.tryTake(1)) {
      return;
    }
    typesBusy = true;
    cloud.types(
        answer -> {
          typesBusy = false;
          answer.ifPresent(
              types -> {
                catalogue.update(types);
                if (!typesRecorded && writes.spare() && host.mayDecide()) {
                  typesRecorded = true;
                  writes.tell(
                      new Change.Put(Keys.TYPES, TypesRecord.encode(catalogue.types())),
                      ok -> typesRecorded = ok);
                }
              });
        });
  }
}
