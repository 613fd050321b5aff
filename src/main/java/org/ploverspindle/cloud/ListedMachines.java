package org.ploverspindle.cloud;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ploverspindle.cluster.HeartbeatTimeout;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.eventloop.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies the contents of the cloud's list of machines to the machine registry. */
final class ListedMachines {
  private static final Logger LOG = LoggerFactory.getLogger(ListedMachines.class);

  /** A machine may be forgotten once it is missing from this many complete lists in a row. */
  private static final int MIN_MISSED_LISTS = 3;

  /**
   * Milliseconds per second of the configured list lag. A machine may be forgotten once it has been
   * known for longer than this and {@link #FORGET_MARGIN_MS}. A list may be twice as old as the
   * lag; the rest is margin.
   */
  private static final double FORGET_MS_PER_LAG_S = 2_500;

  private static final long FORGET_MARGIN_MS = 5_000;

  /**
   * Age of the oldest list that the cloud may return, in milliseconds per second of the configured
   * list lag: a list may be twice as old as that lag. {@link #OLDEST_LIST_MARGIN_MS} is added.
   */
  private static final double OLDEST_LIST_MS_PER_LAG_S = 2_000;

  private static final long OLDEST_LIST_MARGIN_MS = 1_000;

  private static final double MS_PER_S = 1_000;

  /**
   * The machines that one reading of the list has found so far, and the time at which its first
   * page was requested.
   */
  static final class MachineList {
    private final long requestedMs;
    private final Set<String> hosts = new HashSet<>();

    MachineList(long requestedMs) {
      this.requestedMs = requestedMs;
    }

    long requestedMs() {
      return requestedMs;
    }
  }

  private final Scheduler scheduler;
  private final MachineRegistry fleet;
  private final HeartbeatTimeout heartbeatTimeout;
  private final double listLagS;
  private final long termStartMs;

  /** How many complete lists in a row each machine was missing from, by the machine's name. */
  private final Map<String, Integer> missedLists = new HashMap<>();

  /**
   * @param listLagS the configured list lag, in seconds
   * @param termStartMs when the leader's term began, in milliseconds on the steady clock
   */
  ListedMachines(
      Scheduler scheduler,
      MachineRegistry fleet,
      HeartbeatTimeout heartbeatTimeout,
      double listLagS,
      long termStartMs) {
    this.scheduler = scheduler;
    this.fleet = fleet;
    this.heartbeatTimeout = heartbeatTimeout;
    this.listLagS = listLagS;
    this.termStartMs = termStartMs;
  }

  /** Adds a listed machine to the reading, and adds it to the registry or updates it there. */
  void apply(MachineList list, CloudClient.CloudMachine listedMachine) {
    list.hosts.add(listedMachine.id());
    long nowMs = scheduler.nowMs();
    fleet
        .adopt(
            listedMachine.id(),
            listedMachine.type(),
            listedMachine.zone(),
            listedMachine.spot(),
            nowMs)
        .ifPresent(machine -> update(machine, listedMachine, nowMs));
  }

  private static void update(Machine machine, CloudClient.CloudMachine listedMachine, long nowMs) {
    machine.recordListed(nowMs);
    if (listedMachine.status() == CloudClient.MachineStatus.BOOTING && !machine.isUp()) {
      // The age refers to the time when the list was made, which has passed. Therefore the
      // resulting time is not earlier than the machine's provisioning.
      machine.recordProvisioned(nowMs - Math.round(listedMachine.ageS() * MS_PER_S));
    }
    machine.setAddressFromList(listedMachine.address());
    if (listedMachine.status() == CloudClient.MachineStatus.FAILED
        && !machine.isDecommissioning()) {
      // The machine has failed by itself. It is terminated nevertheless, because the cloud's
      // confirmation proves that all tasks on it have ended.
      machine.markUnusable();
    }
  }

  /**
   * Handles the machines of the registry that are missing from a complete list. The list lags, and
   * a later reading may return an older list. Therefore a machine is forgotten only after it was
   * missing from several lists in a row, and only when its worker lease has expired as well.
   */
  void handleCompleteList(MachineList list) {
    long nowMs = scheduler.nowMs();
    for (Machine machine : List.copyOf(fleet.all())) {
      if (list.hosts.contains(machine.host())) {
        missedLists.remove(machine.host());
      } else {
        handleMissing(machine, list, nowMs);
      }
    }
  }

  private void handleMissing(Machine machine, MachineList list, long nowMs) {
    int missedCount = missedLists.merge(machine.host(), 1, Integer::sum);
    if (!machine.isDecommissioning() && isLikelyGone(machine, nowMs, list.requestedMs)) {
      LOG.info(
          "machine unusable, heartbeat timeout and no longer listed: machine={}", machine.host());
      machine.markUnusable();
    }
    boolean knownLongEnough =
        nowMs - machine.knownSinceMs() > listLagS * FORGET_MS_PER_LAG_S + FORGET_MARGIN_MS;
    if (missedCount >= MIN_MISSED_LISTS
        && knownLongEnough
        && machine.isEmpty()
        && nowMs > fleet.leaseExpiryMs(machine)) {
      LOG.info("machine forgotten, lease expired and not listed: machine={}", machine.host());
      missedLists.remove(machine.host());
      fleet.forget(machine);
    }
  }

  /**
   * Whether the machine is most likely gone: its heartbeats have timed out, and it is missing from
   * a list that was made after the machine was first listed. The cloud guarantees that "once
   * listed, a machine stays listed until it is gone", but its absence from the list is not taken as
   * a proof. Terminating such a machine costs nothing, and the cloud's confirmation is the proof,
   * many seconds before the worker lease expires. This shortens the loss when many spot machines
   * are reclaimed at once without notice.
   */
  private boolean isLikelyGone(Machine machine, long nowMs, long requestedMs) {
    long oldestListMs = Math.round(listLagS * OLDEST_LIST_MS_PER_LAG_S) + OLDEST_LIST_MARGIN_MS;
    // A machine on which an earlier leader placed tasks existed before this term. It counts as
    // listed from the time when the cloud can no longer return a list from before the term.
    long listedMs = machine.isListed() ? machine.listedSinceMs() : termStartMs + oldestListMs;
    boolean knownBefore =
        machine.isListed()
            || machine.lastKnownWorkerEpoch() > 0 && machine.knownSinceMs() <= termStartMs;
    return knownBefore
        && requestedMs - listedMs > oldestListMs
        && heartbeatTimeout.isExpired(machine, nowMs);
  }
}
