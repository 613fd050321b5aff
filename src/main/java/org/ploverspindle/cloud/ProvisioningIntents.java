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
 * Provisions machines by write-ahead intents. An intent is recorded durably before its machines are
 * requested from the cloud. The request is repeated under the intent's name until its outcome is
 * known, if necessary by the next leader. Requests are idempotent by that name, so that no machine
 * is provisioned twice and no provisioned machine is lost.
 */
final class ProvisioningIntents {
  private static final Logger LOG = LoggerFactory.getLogger(ProvisioningIntents.class);

  /** The largest number of machines that the cloud provisions by one request. */
  static final int MAX_MACHINES_PER_REQUEST = 50;

  /** For how long scale-out waits for the cloud's answer to a recorded intent. */
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
   * @param tryTakeCall takes a call to the cloud from the budget and returns true; returns false if
   *     the budget is used up or this leader's lease is not certainly valid. It is the last check
   *     before each request
   * @param retryDelay the delay before the request of an intent without an answer is repeated
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
   * Whether scale-out must wait for an answer of the cloud: a recorded intent has no answer yet, so
   * that machines may exist which this leader does not know. An intent without an answer for longer
   * than {@link #MAX_UNANSWERED_MS} does not delay scale-out; its machines count as pending.
   */
  boolean hasUnanswered() {
    long nowMs = scheduler.nowMs();
    return intents.values().stream()
        .anyMatch(
            intent ->
                intent.isRecorded()
                    && !intent.isAnswered()
                    && nowMs - intent.knownSinceMs() < MAX_UNANSWERED_MS);
  }

  /**
   * The groups of the machines that unanswered intents request, one element for each machine. The
   * caller may add to the list.
   */
  List<MachineGroup> pendingMachines() {
    List<MachineGroup> pending = new ArrayList<>();
    for (ProvisioningIntent intent : intents.values()) {
      for (int i = 0; !intent.isAnswered() && i < intent.count(); i++) {
        pending.add(intent.group());
      }
    }
    return pending;
  }

  /**
   * How many machines of the type unanswered intents request in the zone, spot and on-demand
   * together.
   */
  int unansweredMachineCount(int type, int zone) {
    int count = 0;
    for (ProvisioningIntent intent : intents.values()) {
      MachineGroup group = intent.group();
      if (!intent.isAnswered() && group.type() == type && group.zone() == zone) {
        count += intent.count();
      }
    }
    return count;
  }

  /**
   * Inherits an intent that an earlier leader recorded. Its request is repeated; if the cloud has
   * executed it before, it returns the same machines.
   */
  void inherit(Entry entry) {
    Optional<ProvisioningIntentRecords.MachineRequest> request = records.decode(entry.value());
    if (request.isEmpty()) {
      LOG.error("unreadable provisioning intent, record kept as it is: key={}", entry.key());
      return;
    }
    String name = ProvisioningIntentRecords.name(entry);
    intents.put(name, ProvisioningIntent.inherit(name, request.get(), scheduler.nowMs()));
  }

  /** Records an intent, and requests its machines as soon as the record is durable. */
  void provision(MachineGroup group, int count) {
    String name = records.newName();
    ProvisioningIntentRecords.MachineRequest request =
        new ProvisioningIntentRecords.MachineRequest(group, count);
    ProvisioningIntent intent = ProvisioningIntent.create(name, request, scheduler.nowMs());
    intents.put(name, intent);
    LOG.info(
        "provisioning machines: intent={} count={} type={} zone={} spot={}",
        name,
        count,
        records.typeName(group),
        records.zoneName(group),
        group.spot());
    // The record must be durable before the request is sent: a leader that takes over in between
    // learns from it which machines may have been provisioned.
    records.create(name, request, outcome -> onRecorded(intent, outcome));
  }

  private void onRecorded(ProvisioningIntent intent, LeaderWriter.CreateOutcome outcome) {
    if (outcome == LeaderWriter.CreateOutcome.CREATED) {
      intent.markRecorded();
      sendRequest(intent);
    } else {
      intents.remove(intent.name());
    }
  }

  private void sendRequest(ProvisioningIntent intent) {
    if (intent.isRequestInFlight() || !tryTakeCall.getAsBoolean()) {
      return;
    }
    intent.markRequestSent(scheduler.nowMs());
    MachineGroup group = intent.group();
    cloud.provision(
        intent.name(),
        records.typeName(group),
        records.zoneName(group),
        group.spot(),
        intent.count(),
        result -> onResult(intent, result));
  }

  private void onResult(ProvisioningIntent intent, CloudClient.ProvisionResult result) {
    if (result instanceof CloudClient.ProvisionResult.Provisioned provisioned) {
      onProvisioned(intent, provisioned.machineNames());
    } else if (result instanceof CloudClient.ProvisionResult.Malformed) {
      // A malformed request is not repeated: its intent would stay unanswered and delay all
      // scale-out.
      LOG.error(
          "provisioning request rejected as malformed, group backs off: intent={} type={} zone={}"
              + " spot={}",
          intent.name(),
          records.typeName(intent.group()),
          records.zoneName(intent.group()),
          intent.group().spot());
      abandon(intent);
    } else if (result instanceof CloudClient.ProvisionResult.NoCapacity) {
      LOG.info("no capacity, group backs off: intent={}", intent.name());
      abandon(intent);
    } else {
      // No answer, or refused temporarily. The request is repeated under the same name, so that its
      // machines are provisioned at most once.
      scheduler.schedule(retryDelay.nextMs(), intent::allowRetry);
    }
  }

  private void abandon(ProvisioningIntent intent) {
    limits.recordUnfilled(intent.group());
    removeRecord(intent);
  }

  private void onProvisioned(ProvisioningIntent intent, List<String> hosts) {
    intent.markAnswered(hosts);
    MachineGroup group = intent.group();
    if (hosts.size() < intent.count()) {
      limits.recordUnfilled(group);
    } else {
      limits.recordFilled(group);
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
            .ifPresent(machine -> markProvisionedInThisTerm(machine, intent));
      }
    }
  }

  private static void markProvisionedInThisTerm(Machine machine, ProvisioningIntent intent) {
    machine.recordProvisioned(intent.requestedMs());
    machine.endQuarantine();
  }

  /** Repeats requests without an answer, and removes the intents whose machines are all known. */
  void advance() {
    for (ProvisioningIntent intent : List.copyOf(intents.values())) {
      if (intent.isRecorded() && !intent.isAnswered()) {
        sendRequest(intent);
      } else if (intent.hosts().isPresent()
          && intent.hosts().get().stream().allMatch(this::isKnown)) {
        removeRecord(intent);
      }
    }
  }

  /**
   * Whether the machine has sent a heartbeat or has been listed, or is not in the registry any
   * more.
   */
  private boolean isKnown(String host) {
    return fleet.get(host).map(machine -> machine.isUp() || machine.isListed()).orElse(true);
  }

  private void removeRecord(ProvisioningIntent intent) {
    if (intent.isRemoving()) {
      return;
    }
    intent.setRemoving(true);
    records.remove(
        intent.name(),
        removed -> {
          if (removed) {
            intents.remove(intent.name());
            return;
          }
          scheduler.schedule(REMOVE_RETRY_MS, () -> intent.setRemoving(false));
          if (!intent.isAnswered()) {
            intent.markAnswered(List.of());
          }
        });
  }
}
