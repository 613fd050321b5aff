package org.ploverspindle.cloud;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.eventloop.RetryDelay;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.placement.ScaleOutPlanner;
import org.ploverspindle.state.LeaderWriter;
import org.ploverspindle.state.StateStore.Entry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rentals by claims. A claim is recorded durably before the cloud is asked, and the cloud is asked
 * under the claim's name until its outcome is known, if need be by the next leader. So no rental is
 * executed twice and no rented machine is lost.
 */
final class ProvisioningIntents {
  private static final Logger LOG = LoggerFactory.getLogger(ProvisioningIntents.class);
  static final int MAX_MACHINES_PER_REQUEST = 50;
  private static final long OPEN_MS = 30_000;

  private static final int REMOVE_RETRY_MS = 2_000;

  private static final class Intent {
    private final String name;
    private final Autoscaler.MachineGroup group;
    private final int count;
    private boolean recorded;
    private final boolean byUs;
    private final long sinceMs;
    private boolean asked;
    private long askedMs;
    private Optional<List<String>> hosts = Optional.empty();
    private boolean removing;

    Intent(
        String name, ProvisioningIntentRecords.Requested demanded, boolean recorded, long sinceMs) {
      this.sinceMs = sinceMs;
      this.name = name;
      this.group = demanded.group();
      this.count = demanded.count();
      this.recorded = recorded;
      this.byUs = !recorded;
    }
  }

  private final Scheduler scheduler;
  private final CloudClient cloud;
  private final MachineRegistry fleet;
  private final ProvisioningIntentRecords records;
  private final ScaleOutLimits quota;
  private final BooleanSupplier mayCall;
  private final RetryDelay retryDelay;
  private final Map<String, Intent> intents = new LinkedHashMap<>();

  /**
   * @param mayCall takes a call to the cloud from its budget, if the lead is sure; asked last
   *     before each send
   * @param retryDelay before a claim without an answer is asked for again
   */
  ProvisioningIntents(
      Scheduler scheduler,
      CloudClient cloud,
      MachineRegistry fleet,
      ProvisioningIntentRecords records,
      ScaleOutLimits quota,
      BooleanSupplier mayCall,
      RetryDelay retryDelay) {
    this.scheduler = scheduler;
    this.cloud = cloud;
    this.fleet = fleet;
    this.records = records;
    this.quota = quota;
    this.mayCall = mayCall;
    this.retryDelay = retryDelay;
  }

  boolean isEmpty() {
    return intents.isEmpty();
  }

  /**
   * A claim that stands recorded has no answer yet: machines may be rented that nobody knows. After
   * a while of no answers it counts as held and on its way, and others are asked for beside it.
   */
  boolean haveUnanswered() {
    long now = scheduler.nowMs();
    return intents.values().stream()
        .anyMatch(c -> c.recorded && c.hosts.isEmpty() && now - c.sinceMs < OPEN_MS);
  }

  /** What is asked for and not known yet, machine by machine. */
  List<ScaleOutPlanner.PendingMachine> pendingMachines() {
    List<ScaleOutPlanner.PendingMachine> coming = new ArrayList<>();
    for (Intent c : intents.values()) {
      for (int i = 0; c.hosts.isEmpty() && i < c.count; i++) {
        coming.add(
            new ScaleOutPlanner.PendingMachine(c.group.type(), c.group.zone(), c.group.spot()));
      }
    }
    return coming;
  }

  /** Machines of the type in the zone that are asked for and not known yet. */
  int inFlight(int type, int zone) {
    int n = 0;
    for (Intent c : intents.values()) {
      if (c.hosts.isEmpty() && c.group.type() == type && c.group.zone() == zone) {
        n += c.count;
      }
    }
    return n;
  }

  /** An earlier leader's claim: what it rented is learnt by asking for it again. */
  void inherit(Entry entry) {
    Optional<ProvisioningIntentRecords.Requested> demanded = records.decode(entry.value());
    if (demanded.isEmpty()) {
      LOG.error("the record {} can't be read and is left as it is", entry.key());
      return;
    }
    String name = ProvisioningIntentRecords.name(entry);
    intents.put(name, new Intent(name, demanded.get(), true, scheduler.nowMs()));
  }

  /** Records a claim, and asks for it once the record stands. */
  void provision(Autoscaler.MachineGroup group, int count, String cause) {
    String name = records.newName();
    ProvisioningIntentRecords.Requested demanded =
        new ProvisioningIntentRecords.Requested(group, count);
    Intent claim = new Intent(name, demanded, false, scheduler.nowMs());
    intents.put(name, claim);
    LOG.info(
        "renting {} {} {} in {} as {}: {}",
        count,
        group.spot() ? "spot" : "ordinary",
        records.typeName(group),
        records.zoneName(group),
        name,
        cause);
    // Durable first: a leader that takes over in between learns from it what may have been rented.
    records.create(
        name,
        demanded,
        outcome -> {
          if (outcome == LeaderWriter.CreateOutcome.CREATED) {
            claim.recorded = true;
            request(claim);
          } else {
            intents.remove(name);
          }
        });
  }

  private void request(Intent claim) {
    if (claim.asked || !mayCall.getAsBoolean()) {
      return;
    }
    claim.asked = true;
    claim.askedMs = scheduler.nowMs();
    Autoscaler.MachineGroup group = claim.group;
    cloud.provision(
        claim.name,
        records.typeName(group),
        records.zoneName(group),
        group.spot(),
        claim.count,
        result -> answered(claim, result));
  }

  private void answered(Intent claim, CloudClient.ProvisionResult result) {
    if (result instanceof CloudClient.ProvisionResult.Provisioned rented) {
      rented(claim, rented.hosts());
    } else if (result instanceof CloudClient.ProvisionResult.Malformed) {
      // Asked for again for ever, it would keep all other rentals waiting.
      LOG.error("the cloud does not take {} as it is: {} backs off", claim.name, claim.group);
      quota.notFilled(claim.group);
      removeIntent(claim);
    } else if (result instanceof CloudClient.ProvisionResult.NoCapacity) {
      LOG.info("no capacity for {}", claim.name);
      quota.notFilled(claim.group);
      removeIntent(claim);
    } else {
      // No answer, or a refusal: the same claim is asked for again, which rents once at most.
      scheduler.schedule(retryDelay.nextMs(), () -> claim.asked = false);
    }
  }

  private void rented(Intent claim, List<String> hosts) {
    claim.hosts = Optional.of(hosts);
    Autoscaler.MachineGroup g = claim.group;
    if (hosts.size() < claim.count) {
      quota.notFilled(g);
    } else {
      quota.filled(g);
    }
    for (String id : hosts) {
      if (!fleet.wasTerminated(id)) {
        fleet
            .adopt(id, records.typeName(g), records.zoneName(g), g.spot(), scheduler.nowMs())
            .filter(m -> claim.byUs)
            .ifPresent(machine -> rentedByUs(machine, claim));
      }
    }
  }

  private static void rentedByUs(Machine machine, Intent claim) {
    machine.provisionedAt(claim.askedMs);
    machine.endQuarantine();
  }

  /** Asks for what has no answer yet, and drops the records of what is known by now. */
  void retryUnanswered() {
    for (Intent c : List.copyOf(intents.values())) {
      if (c.recorded && c.hosts.isEmpty()) {
        request(c);
      } else if (c.hosts.isPresent() && c.hosts.get().stream().allMatch(this::seen)) {
        removeIntent(c);
      }
    }
  }

  private boolean seen(String id) {
    return fleet.get(id).map(m -> m.isUp() || m.isListed()).orElse(true);
  }

  private void removeIntent(Intent claim) {
    if (claim.removing) {
      return;
    }
    claim.removing = true;
    records.remove(
        claim.name,
        gone -> {
          if (gone) {
            intents.remove(claim.name);
          } else {
            scheduler.schedule(REMOVE_RETRY_MS, () -> claim.removing = false);
            if (claim.hosts.isEmpty()) {
              claim.hosts = Optional.of(List.of());
            }
          }
        });
  }
}
