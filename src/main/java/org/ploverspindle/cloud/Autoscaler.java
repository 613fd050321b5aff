package org.ploverspindle.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.ploverspindle.cluster.HeartbeatTimeout;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.CancellableGroup;
import org.ploverspindle.eventloop.RetryDelay;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.Term;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.placement.ScaleOutPlanner;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.scalein.MachineTerminations;
import org.ploverspindle.scalein.TerminationRecordWriter;
import org.ploverspindle.scalein.TerminationSender;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.sizing.AdaptiveSizing;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.LeaderWriter;
import org.ploverspindle.state.MachineTypesRecord;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.TokenBucket;

/** A leader's dealings with the cloud: scans, rentals by durable claims, returns, and the list. */
public final class Autoscaler {
  /** Below the cloud's rate: what it counts as a second is not what we do. */
  private static final double CLOUD_SHARE = 0.75;

  /** A list may be twice as old as its usual lag; the record of a return outlives that. */
  private static final double OLDEST_LIST_MS_PER_LAG_S = 2_000;

  private static final long OLDEST_LIST_MARGIN_MS = 1_000;
  private static final long RETURNS_PERIOD_MS = 1_000;

  /** A request without an answer is sent again after at least this time. */
  private static final int RETRY_MS = 700;

  /** Random addition to the time above. */
  private static final int RETRY_JITTER_MS = 600;

  /** A type's machines of one kind in one zone. */
  record MachineGroup(int type, int zone, boolean spot) {
    static MachineGroup of(Machine m) {
      return new MachineGroup(m.type(), m.zone(), m.spot());
    }
  }

  /** What the rest of the leader has to do with rentals. */
  public interface Workload {
    /** What to rent, given what may be rented and what is on its way. */
    List<ScaleOutPlanner.Request> scaleOutRequests(
        List<ScaleOutPlanner.Candidate> offers, List<ScaleOutPlanner.PendingMachine> coming);

    /** True when jobs have stopped coming: idle machines wait for nobody. */
    boolean isQuiet();

    /**
     * For idle machines, one after the other: true when it is not needed as room for the next
     * pressing job, given those that were said to be spare before.
     */
    Predicate<Machine> surplus();

    /** For one machine after the other: true when work waits that could be put on it. */
    Predicate<Machine> needed();

    /** Since when this leader has listened to its machines without a pause of its own. */
    long listeningSinceMs();

    /** Tasks that went with a machine. */
    void lost(List<Placement> placements);

    boolean isAuthoritative();
  }

  private final Scheduler scheduler;
  private final CloudClient cloud;
  private final Catalogue catalogue;
  private final MachineRegistry fleet;
  private final Replica replica;
  private final LeaderWriter writes;
  private final Policy policy;
  private final Settings settings;
  private final Term term;
  private final Workload workload;
  private final TokenBucket budget;

  private final GroupBackoffs backoffs;
  private final ScaleOutLimits quota;
  private final ProvisioningIntents intents;
  private final Pools pools;
  private final BootTracker boots;
  private final MachineTerminations terminations;
  private final ScaleInPlanner scaleInPlanner;
  private final MachineList list;
  private final Map<String, JsonNode> writtenBounds = new HashMap<>();
  private final CancellableGroup duties = new CancellableGroup();
  private boolean inherited;
  private boolean typesBusy;
  private boolean typesRecorded;

  public Autoscaler(
      Scheduler scheduler,
      CloudClient cloud,
      Catalogue catalogue,
      MachineRegistry fleet,
      Replica replica,
      LeaderWriter writes,
      Policy policy,
      Settings settings,
      RandomGenerator random,
      Term term,
      Workload host) {
    this.scheduler = scheduler;
    this.cloud = cloud;
    this.catalogue = catalogue;
    this.fleet = fleet;
    this.replica = replica;
    this.writes = writes;
    this.policy = policy;
    this.settings = settings;
    this.term = term;
    this.workload = host;
    double rps = settings.cloudLimits().rps();
    // Listing leaves one call for a rental: with room for one call alone it would never begin, and
    // nothing is rented before the first list.
    this.budget = new TokenBucket(scheduler, rps * CLOUD_SHARE, Math.max(2, rps));
    this.boots = new BootTracker(catalogue);
    this.backoffs = new GroupBackoffs(scheduler, catalogue, policy, random);
    RetryDelay retryDelay = new RetryDelay(random, RETRY_MS, RETRY_JITTER_MS);
    this.quota = new ScaleOutLimits(backoffs, policy, settings, rps * CLOUD_SHARE);
    this.intents =
        new ProvisioningIntents(
            scheduler,
            cloud,
            fleet,
            new ProvisioningIntentRecords(catalogue, writes, term.fencingToken()),
            quota,
            this::mayCall,
            retryDelay);
    this.pools = new Pools(catalogue, fleet, intents, backoffs, policy);
    HeartbeatTimeout silence =
        new HeartbeatTimeout(
            settings.workers().reportS(), term.startMs(), () -> host.listeningSinceMs());
    this.terminations = newReturns(silence, retryDelay);
    this.scaleInPlanner = newReturnSelection();
    this.list =
        new MachineList(
            scheduler,
            cloud,
            fleet,
            settings,
            term,
            budget,
            rps * CLOUD_SHARE,
            silence,
            host::isAuthoritative,
            this::listed);
  }

  /** Takes a call to the cloud from its budget, if the lead is sure. */
  private boolean mayCall() {
    return workload.isAuthoritative() && budget.tryTake(1);
  }

  private MachineTerminations newReturns(HeartbeatTimeout silence, RetryDelay retryDelay) {
    long keepMs =
        Math.round(settings.cloudLimits().listLagS() * OLDEST_LIST_MS_PER_LAG_S)
            + OLDEST_LIST_MARGIN_MS;
    return new MachineTerminations(
        scheduler,
        fleet,
        silence,
        new TerminationRecordWriter(
            writes, term.fencingToken(), settings.writeLimits().valueBytes()),
        new TerminationSender(scheduler, cloud, this::mayCall, retryDelay),
        keepMs,
        workload::lost);
  }

  private ScaleInPlanner newReturnSelection() {
    return new ScaleInPlanner(
        scheduler,
        fleet,
        new UnusableMachines(fleet, boots, backoffs, term.startMs(), settings.workers().leaseS()),
        new IdleMachines(pools, policy, workload),
        terminations,
        workload::isAuthoritative);
  }

  /**
   * Takes over the claims, returns and marks of earlier leaders, and begins. To be called before
   * the first placement of the term.
   */
  public Cancellable start() {
    replica.withPrefix(Keys.TERMINATIONS).values().forEach(terminations::inherit);
    for (Entry e : replica.withPrefix(Keys.PROVISIONING_INTENTS).values()) {
      intents.inherit(e);
    }
    inherited = !intents.isEmpty();
    for (Entry e : replica.withPrefix(Keys.BOUNDS).values()) {
      writtenBounds.put(e.key(), e.value());
      backoffs.read(e, catalogue.typeIndex(e.key().substring(Keys.BOUNDS.length())));
    }
    duties.add(scheduler.every(Math.round(policy.scanS() * 1000), this::scan));
    duties.add(scheduler.every(RETURNS_PERIOD_MS, scaleInPlanner::run));
    duties.add(scheduler.every(60_000, this::refreshTypes));
    duties.add(scheduler.every(500, intents::retryUnanswered));
    duties.add(list.start());
    refreshTypes();
    return duties;
  }

  /** Was the whole list of machines read in this term? */
  public boolean isMachineListRead() {
    return list.wasRead();
  }

  /** The next scan need not be waited for: nothing is up and work waits. */
  public void scanSoon() {
    if (list.wasRead() && intents.isEmpty() && fleet.all().isEmpty()) {
      scan();
    }
  }

  /** What has become of returns in this term, for people. */
  public String scaleInStatus() {
    return terminations.summary();
  }

  // ---- the scan

  private boolean rebuilt() {
    if (!list.wasRead() || intents.haveUnanswered()) {
      return false;
    }
    // Machines report in their own time: before most did, room that exists would be rented again.
    // Where no earlier leader left any there is nothing to wait for, and work waits for the first.
    long settledMs = term.startMs() + Math.round(settings.workers().reportS() * 1250) + 1_500;
    return !inherited || scheduler.nowMs() >= settledMs;
  }

  private void scan() {
    if (!workload.isAuthoritative() || !rebuilt()) {
      return;
    }
    boots.observe(fleet.all(), scheduler.nowMs());
    List<ScaleOutPlanner.Candidate> offers = new ArrayList<>();
    Map<MachineGroup, Integer> forMinimum = new LinkedHashMap<>();
    for (int t = 0; t < catalogue.types().size(); t++) {
      List<AdaptiveSizing.Group> groups = pools.groups(t);
      List<AdaptiveSizing.Bounds> bounds = pools.bounds(t, groups);
      recordBounds(t, bounds);
      for (int z = 0; z < groups.size(); z++) {
        if (!catalogue.type(t).zones().contains(catalogue.zoneName(z))) {
          continue;
        }
        int room = bounds.get(z).max() - groups.get(z).held();
        offer(offers, new MachineGroup(t, z, true), room, groups.get(z).held());
        offer(offers, new MachineGroup(t, z, false), room, groups.get(z).held());
        int missing = Math.min(room, bounds.get(z).min() - groups.get(z).held());
        if (missing > 0) {
          // The minimum must always be there: on-demand machines where possible.
          boolean spot = backoffs.backedOff(new MachineGroup(t, z, false));
          forMinimum.put(new MachineGroup(t, z, spot), missing);
        }
      }
    }
    Map<MachineGroup, Integer> toRent = new LinkedHashMap<>(forMinimum);
    List<ScaleOutPlanner.PendingMachine> coming = coming();
    forMinimum.forEach(
        (g, n) -> {
          for (int i = 0; i < n; i++) {
            coming.add(new ScaleOutPlanner.PendingMachine(g.type(), g.zone(), g.spot()));
          }
        });
    for (ScaleOutPlanner.Request w : workload.scaleOutRequests(offers, coming)) {
      toRent.merge(new MachineGroup(w.type(), w.zone(), w.spot()), w.count(), Integer::sum);
    }
    toRent.forEach(
        (g, n) -> {
          int left = Math.min(n, quota.most(g));
          for (; left > 0; left -= ProvisioningIntents.MAX_MACHINES_PER_REQUEST) {
            intents.provision(
                g,
                Math.min(ProvisioningIntents.MAX_MACHINES_PER_REQUEST, left),
                "work waits or a minimum is open");
          }
        });
  }

  private void offer(List<ScaleOutPlanner.Candidate> offers, MachineGroup g, int room, int held) {
    if (room > 0 && !backoffs.backedOff(g)) {
      offers.add(
          new ScaleOutPlanner.Candidate(
              g.type(),
              g.zone(),
              g.spot(),
              Math.min(room, quota.most(g)),
              held,
              boots.isBootingBadly(g)));
    }
  }

  /** Machines that boot as expected, and rentals in flight. */
  private List<ScaleOutPlanner.PendingMachine> coming() {
    List<ScaleOutPlanner.PendingMachine> coming = intents.pendingMachines();
    long now = scheduler.nowMs();
    for (Machine m : fleet.all()) {
      if (!m.isUp() && !m.isDecommissioning() && !boots.isOverdue(m, now)) {
        coming.add(new ScaleOutPlanner.PendingMachine(m.type(), m.zone(), m.spot()));
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
    backoffs.record(type, v.putArray("backoff"));
    if (Cbor.jsonSize(v) > settings.writeLimits().valueBytes()) {
      v.remove("backoff");
    }
    if (Cbor.jsonSize(v) > settings.writeLimits().valueBytes()) {
      // Kept by this leader alone: the next one begins anew, as after a long time without any.
      return;
    }
    String key = Keys.bounds(catalogue.type(type).name());
    if (!v.equals(writtenBounds.get(key)) && writes.hasSpareBudget()) {
      writtenBounds.put(key, v);
      writes.writeBestEffort(
          new Change.Put(key, v),
          ok -> {
            if (!ok) {
              writtenBounds.remove(key);
            }
          });
    }
  }

  private void listed(boolean first) {
    inherited |= first && !fleet.all().isEmpty();
    if (first) {
      scan();
    }
  }

  // ---- the catalogue

  private void refreshTypes() {
    if (typesBusy || !budget.tryTake(1)) {
      return;
    }
    typesBusy = true;
    cloud.listMachineTypes(
        answer -> {
          typesBusy = false;
          answer.ifPresent(
              types -> {
                catalogue.update(types);
                if (!typesRecorded && writes.hasSpareBudget() && workload.isAuthoritative()) {
                  typesRecorded = true;
                  record(
                      MachineTypesRecord.puts(
                          catalogue.types(), settings.writeLimits().valueBytes()));
                }
              });
        });
  }

  private void record(List<Change.Put> rest) {
    if (!rest.isEmpty()) {
      writes.writeBestEffort(
          rest.get(0),
          ok -> {
            typesRecorded = ok;
            if (ok) {
              record(rest.subList(1, rest.size()));
            }
          });
    }
  }
}
