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

/** Applies the cloud's list of machines to the registry. */
final class ListedMachines {
  private static final Logger LOG = LoggerFactory.getLogger(ListedMachines.class);

  /** A machine that is missing from so many complete lists in a row may be forgotten. */
  private static final int MISSED_LISTS = 3;

  /** A list may be twice as old as its usual lag; the rest is margin. */
  private static final double FORGET_MS_PER_LAG_S = 2_500;

  private static final long FORGET_MARGIN_MS = 5_000;
  private static final double OLDEST_LIST_MS_PER_LAG_S = 2_000;
  private static final long OLDEST_LIST_MARGIN_MS = 1_000;

  private static final double MS_PER_S = 1_000;

  /** The hosts of one reading of the list, from when its first page was requested. */
  static final class Snapshot {
    private final long requestedMs;
    private final Set<String> hosts = new HashSet<>();

    Snapshot(long requestedMs) {
      this.requestedMs = requestedMs;
    }

    long requestedMs() {
      return requestedMs;
    }
  }

  private final Scheduler scheduler;
  private final MachineRegistry fleet;
  private final HeartbeatTimeout heartbeatTimeout;
  private final double lagS;
  private final long termStartMs;

  /** How many lists in a row each host was missing from. */
  private final Map<String, Integer> missedLists = new HashMap<>();

  /**
   * @param lagS by how long the cloud's list may lag behind, in seconds
   * @param termStartMs when the leader's term began, on the steady clock
   */
  ListedMachines(
      Scheduler scheduler,
      MachineRegistry fleet,
      HeartbeatTimeout heartbeatTimeout,
      double lagS,
      long termStartMs) {
    this.scheduler = scheduler;
    this.fleet = fleet;
    this.heartbeatTimeout = heartbeatTimeout;
    this.lagS = lagS;
    this.termStartMs = termStartMs;
  }

  /** Adds a listed host to the snapshot and to the registry. */
  void add(Snapshot snapshot, CloudClient.Host host) {
    snapshot.hosts.add(host.id());
    long nowMs = scheduler.nowMs();
    fleet
        .adopt(host.id(), host.type(), host.zone(), host.spot(), nowMs)
        .ifPresent(machine -> update(machine, host, nowMs));
  }

  private static void update(Machine machine, CloudClient.Host host, long nowMs) {
    machine.listedAt(nowMs);
    if (host.status() == CloudClient.HostStatus.BOOTING && !machine.isUp()) {
      // The list is older than now by its lag, so this is not before the machine was provisioned.
      machine.provisionedAt(nowMs - Math.round(host.ageS() * MS_PER_S));
    }
    machine.setAddressFromList(host.address());
    if (host.status() == CloudClient.HostStatus.FAILED && !machine.isDecommissioning()) {
      // It has stopped by itself; the response to its termination proves that all its tasks ended.
      machine.markUnusable();
    }
  }

  /**
   * Handles the machines that a complete list lacks. The list lags and can go back in time, so such
   * a machine is forgotten only when its lease has expired as well, and only after several lists in
   * a row.
   */
  void complete(Snapshot snapshot) {
    long nowMs = scheduler.nowMs();
    for (Machine machine : List.copyOf(fleet.all())) {
      if (snapshot.hosts.contains(machine.host())) {
        missedLists.remove(machine.host());
      } else {
        missing(machine, snapshot, nowMs);
      }
    }
  }

  private void missing(Machine machine, Snapshot snapshot, long nowMs) {
    int missed = missedLists.merge(machine.host(), 1, Integer::sum);
    if (!machine.isDecommissioning() && isGone(machine, nowMs, snapshot.requestedMs)) {
      LOG.info(
          "machine unusable, heartbeat timeout and no longer listed: machine={}", machine.host());
      machine.markUnusable();
    }
    boolean knownLongEnough =
        nowMs - machine.knownSinceMs() > lagS * FORGET_MS_PER_LAG_S + FORGET_MARGIN_MS;
    if (missed >= MISSED_LISTS
        && knownLongEnough
        && machine.isEmpty()
        && nowMs > fleet.leaseExpiryMs(machine)) {
      LOG.info("machine forgotten, lease expired and not listed: machine={}", machine.host());
      missedLists.remove(machine.host());
      fleet.forget(machine);
    }
  }

  /**
   * The machine's heartbeats have timed out, and it is missing from a list that cannot date from
   * before it was listed: "once listed, a machine stays listed until it is gone". The list alone
   * proves nothing here either. But terminating such a machine costs nothing, and the response to
   * that is the proof, many seconds before its lease expires: for a wave of spot machines that are
   * reclaimed without notice.
   */
  private boolean isGone(Machine machine, long nowMs, long requestedMs) {
    long oldestListMs = Math.round(lagS * OLDEST_LIST_MS_PER_LAG_S) + OLDEST_LIST_MARGIN_MS;
    // A machine on which an earlier leader placed tasks existed before this term.
    long listedMs = machine.isListed() ? machine.listedSinceMs() : termStartMs + oldestListMs;
    boolean knownBefore =
        machine.isListed()
            || machine.lastKnownAgentEpoch() > 0 && machine.knownSinceMs() <= termStartMs;
    return knownBefore
        && requestedMs - listedMs > oldestListMs
        && heartbeatTimeout.isExpired(machine, nowMs);
  }
}
