package org.ploverspindle.cloud;

import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells which machines are of no use any more and go back, whatever the bounds say. */
final class UnusableMachines {
  private static final Logger LOG = LoggerFactory.getLogger(UnusableMachines.class);

  private static final double MS_PER_S = 1_000;

  /** For how many leases a machine may report without hearing us. */
  private static final double DEAF_LEASES = 3;

  /** A machine may be silent for so long beyond its lease: its next session may begin late. */
  private static final long SILENCE_BEYOND_LEASE_MS = 15_000;

  private final MachineRegistry fleet;
  private final BootTracker boots;
  private final GroupBackoffs backoffs;
  private final long termStartMs;
  private final double leaseMs;

  /**
   * @param termStartMs when the leader's term began, on the steady clock
   * @param leaseS a worker's lease
   */
  UnusableMachines(
      MachineRegistry fleet,
      BootTracker boots,
      GroupBackoffs backoffs,
      long termStartMs,
      double leaseS) {
    this.fleet = fleet;
    this.boots = boots;
    this.backoffs = backoffs;
    this.termStartMs = termStartMs;
    this.leaseMs = leaseS * MS_PER_S;
  }

  FleetConnectivity connectivity(long nowMs) {
    return new FleetConnectivity(fleet, leaseMs, nowMs);
  }

  boolean test(Machine machine, long nowMs, FleetConnectivity hearing) {
    if (machine.isDecommissioning()) {
      return true;
    }
    if (!machine.isUp()) {
      return isStuck(machine, nowMs);
    }
    return machine.isEmpty()
        && (machine.isDraining()
            || machine.hasSpotNotice()
            || isDeaf(machine, nowMs, hearing)
            || isLost(machine, nowMs, hearing));
  }

  /** It never came up; its group backs off. */
  private boolean isStuck(Machine machine, long nowMs) {
    if (!machine.placements().isEmpty()) {
      return false;
    }
    if (machine.isDraining() || machine.hasSpotNotice()) {
      return true;
    }
    // One that an earlier leader knew may be up and cut off: its lease must be over as well.
    boolean silent = nowMs - termStartMs > fleet.leaseExpiryMs(machine) - machine.knownSinceMs();
    if (!silent || !boots.isStuck(machine, nowMs)) {
      return false;
    }
    LOG.info(
        "machine {} has not come up in {} s: it is returned, and its group backs off",
        machine.host(),
        Math.round((nowMs - machine.bootingSinceMs()) / MS_PER_S));
    backoffs.backOff(Autoscaler.MachineGroup.of(machine));
    return true;
  }

  /** It reports and nothing we say reaches it: paid for and of no use. */
  private boolean isDeaf(Machine machine, long nowMs, FleetConnectivity hearing) {
    return machine.unreachableSinceMs() >= 0
        && nowMs - machine.unreachableSinceMs() >= leaseMs * DEAF_LEASES
        && hearing.fewAreUnreachable();
  }

  /** Its lease ran out a while ago, and it did not report again. */
  private boolean isLost(Machine machine, long nowMs, FleetConnectivity hearing) {
    return nowMs > fleet.leaseExpiryMs(machine) + SILENCE_BEYOND_LEASE_MS
        && hearing.mostSendHeartbeats();
  }
}
