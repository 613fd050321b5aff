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
import org.ploverspindle.placement.MachineGroup;
import org.ploverspindle.state.LeaderWriter;
import org.ploverspindle.state.StateStore.Entry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Provisions machines by write-ahead intents. An intent is recorded durably before the cloud is
 * asked, and the cloud is asked under the intent's name until its outcome is known, if need be by
 * the next leader. Requests are idempotent by that name, so nothing is provisioned twice and no
 * provisioned machine is lost.
 */
final class ProvisioningIntents {
  private static final Logger LOG = LoggerFactory.getLogger(ProvisioningIntents.class);

  /** The cloud's limit for one request. */
  static final int MAX_MACHINES_PER_REQUEST = 50;

  /** For so long scale-out waits for the answer to a recorded intent. */
  private static final long MAX_UNANSWERED_MS = 30_000;

  private static final long REMOVE_RETRY_MS = 2_000;

  private final Scheduler scheduler;
  private final CloudClient cloud;
  private final MachineRegistry fleet;
  private final ProvisioningIntentRecords records;
  private final ScaleOutLimits limits;
  private final BooleanSupplier tryTakeCall;
  private final RetryDelay retryDelay;
  private final Map<String, ProvisioningIntent> intents = new LinkedHashMap<>();

  /**
   * @param tryTakeCall takes a call to the cloud from its budget, if this leader's lease is
   *     certainly valid; asked last before each send
   * @param retryDelay before an intent without an answer is requested again
   */
  ProvisioningIntents(
      Scheduler scheduler,
      CloudClient cloud,
      MachineRegistry fleet,
      ProvisioningIntentRecords records,
      ScaleOutLimits limits,
      BooleanSupplier tryTakeCall,
      RetryDelay retryDelay) {
    this.scheduler = scheduler;
    this.cloud = cloud;
    this.fleet = fleet;
    this.records = records;
    this.limits = limits;
    this.tryTakeCall = tryTakeCall;
    this.retryDelay = retryDelay;
  }

  boolean isEmpty() {
    return intents.isEmpty();
  }

  /**
   * True while a recorded intent has no answer, so that machines may exist that this leader does
   * not know. An intent that is unanswered for long counts as pending machines, and scale-out goes
   * on beside it.
   */
  boolean haveUnanswered() {
    long nowMs = scheduler.nowMs();
    return intents.values().stream()
        .anyMatch(
            intent ->
                intent.isRecorded()
                    && !intent.isAnswered()
                    && nowMs - intent.sinceMs() < MAX_UNANSWERED_MS);
  }

  /** The machines of unanswered intents, each by its group; the caller may add to the list. */
  List<MachineGroup> pendingMachines() {
    List<MachineGroup> pending = new ArrayList<>();
    for (ProvisioningIntent intent : intents.values()) {
      for (int i = 0; !intent.isAnswered() && i < intent.count(); i++) {
        pending.add(intent.group());
      }
    }
    return pending;
  }

  /** How many machines of the type in the zone, of both kinds, unanswered intents ask for. */
  int unansweredMachines(int type, int zone) {
    int count = 0;
    for (ProvisioningIntent intent : intents.values()) {
      MachineGroup group = intent.group();
      if (!intent.isAnswered() && group.type() == type && group.zone() == zone) {
        count += intent.count();
      }
    }
    return count;
  }

  /** Takes over an earlier leader's intent; a repeated request returns what it provisioned. */
  void inherit(Entry entry) {
    Optional<ProvisioningIntentRecords.Requested> requested = records.decode(entry.value());
    if (requested.isEmpty()) {
      LOG.error("unreadable provisioning intent, record kept as it is: key={}", entry.key());
      return;
    }
    String name = ProvisioningIntentRecords.name(entry);
    intents.put(name, ProvisioningIntent.inherit(name, requested.get(), scheduler.nowMs()));
  }

  /** Records an intent, and requests its machines once the record is durable. */
  void provision(MachineGroup group, int count) {
    String name = records.newName();
    ProvisioningIntentRecords.Requested requested =
        new ProvisioningIntentRecords.Requested(group, count);
    ProvisioningIntent intent = ProvisioningIntent.create(name, requested, scheduler.nowMs());
    intents.put(name, intent);
    LOG.info(
        "provisioning machines: intent={} count={} type={} zone={} spot={}",
        name,
        count,
        records.typeName(group),
        records.zoneName(group),
        group.spot());
    // Durable first: a leader that takes over in between learns what may have been provisioned.
    records.create(name, requested, outcome -> recorded(intent, outcome));
  }

  private void recorded(ProvisioningIntent intent, LeaderWriter.CreateOutcome outcome) {
    if (outcome == LeaderWriter.CreateOutcome.CREATED) {
      intent.markRecorded();
      request(intent);
    } else {
      intents.remove(intent.name());
    }
  }

  private void request(ProvisioningIntent intent) {
    if (intent.isRequestInFlight() || !tryTakeCall.getAsBoolean()) {
      return;
    }
    intent.requestSent(scheduler.nowMs());
    MachineGroup group = intent.group();
    cloud.provision(
        intent.name(),
        records.typeName(group),
        records.zoneName(group),
        group.spot(),
        intent.count(),
        result -> answered(intent, result));
  }

  private void answered(ProvisioningIntent intent, CloudClient.ProvisionResult result) {
    if (result instanceof CloudClient.ProvisionResult.Provisioned provisioned) {
      provisioned(intent, provisioned.hosts());
    } else if (result instanceof CloudClient.ProvisionResult.Malformed) {
      // Repeated, it would stay unanswered and hold up all scale-out.
      LOG.error(
          "provisioning request rejected as malformed, group backs off: intent={} type={} zone={}"
              + " spot={}",
          intent.name(),
          records.typeName(intent.group()),
          records.zoneName(intent.group()),
          intent.group().spot());
      giveUp(intent);
    } else if (result instanceof CloudClient.ProvisionResult.NoCapacity) {
      LOG.info("no capacity, group backs off: intent={}", intent.name());
      giveUp(intent);
    } else {
      // No answer, or refused for now: repeated by name, it provisions once at most.
      scheduler.schedule(retryDelay.nextMs(), intent::allowRetry);
    }
  }

  private void giveUp(ProvisioningIntent intent) {
    limits.notFilled(intent.group());
    removeRecord(intent);
  }

  private void provisioned(ProvisioningIntent intent, List<String> hosts) {
    intent.answered(hosts);
    MachineGroup group = intent.group();
    if (hosts.size() < intent.count()) {
      limits.notFilled(group);
    } else {
      limits.filled(group);
    }
    for (String host : hosts) {
      if (!fleet.wasTerminated(host)) {
        fleet
            .adopt(
                host,
                records.typeName(group),
                records.zoneName(group),
                group.spot(),
                scheduler.nowMs())
            .filter(machine -> !intent.isInherited())
            .ifPresent(machine -> provisionedInThisTerm(machine, intent));
      }
    }
  }

  private static void provisionedInThisTerm(Machine machine, ProvisioningIntent intent) {
    machine.provisionedAt(intent.requestedMs());
    machine.endQuarantine();
  }

  /** Repeats requests without an answer, and removes intents all of whose machines are known. */
  void retryUnanswered() {
    for (ProvisioningIntent intent : List.copyOf(intents.values())) {
      if (intent.isRecorded() && !intent.isAnswered()) {
        request(intent);
      } else if (intent.hosts().isPresent()
          && intent.hosts().get().stream().allMatch(this::isKnown)) {
        removeRecord(intent);
      }
    }
  }

  /** True when the machine was seen in the list or by a heartbeat, or is gone again. */
  private boolean isKnown(String host) {
    return fleet.get(host).map(machine -> machine.isUp() || machine.isListed()).orElse(true);
  }

  private void removeRecord(ProvisioningIntent intent) {
    if (intent.isRemoving()) {
      return;
    }
    intent.removing(true);
    records.remove(
        intent.name(),
        removed -> {
          if (removed) {
            intents.remove(intent.name());
            return;
          }
          scheduler.schedule(REMOVE_RETRY_MS, () -> intent.removing(false));
          if (!intent.isAnswered()) {
            intent.answered(List.of());
          }
        });
  }
}
