package org.ploverspindle.cloud;

import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.placement.MachineGroup;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds the machines that are terminated whatever their pool's minimum: those that never came up,
 * are lost, draining or beyond reach.
 */
final class UnusableMachines {
  private static final Logger LOG = LoggerFactory.getLogger(UnusableMachines.class);

  private static final double MS_PER_S = 1_000;

  /** For how many leases a machine may send heartbeats while commands don't reach it. */
  private static final double MAX_UNREACHABLE_LEASES = 3;

  /** A machine may be silent for so long beyond its lease: its next agent epoch may begin late. */
  private static final long MAX_SILENCE_BEYOND_LEASE_MS = 15_000;

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

  /** The fleet's connectivity, to be passed to all tests of one round. */
  FleetConnectivity connectivity(long nowMs) {
    return new FleetConnectivity(fleet, leaseMs, nowMs);
  }

  /** True when the machine is to be terminated; one whose boot is stuck backs its group off. */
  boolean test(Machine machine, long nowMs, FleetConnectivity connectivity) {
    if (machine.isDecommissioning()) {
      return true;
    }
    if (!machine.isUp()) {
      return isStuck(machine, nowMs);
    }
    return machine.isEmpty()
        && (machine.isDraining()
            || machine.hasSpotNotice()
            || isUnreachable(machine, nowMs, connectivity)
            || isLost(machine, nowMs, connectivity));
  }

  /** It never came up; then its group backs off. */
  private boolean isStuck(Machine machine, long nowMs) {
    if (!machine.placements().isEmpty()) {
      return false;
    }
    if (machine.isDraining() || machine.hasSpotNotice()) {
      return true;
    }
    // A machine that an earlier leader knew may be up and cut off, with tasks: its lease must have
    // expired as well.
    boolean leaseExpired =
        nowMs - termStartMs > fleet.leaseExpiryMs(machine) - machine.knownSinceMs();
    if (!leaseExpired || !boots.isStuck(machine, nowMs)) {
      return false;
    }
    LOG.info(
        "machine did not come up, terminated and group backs off: machine={} booting_s={}",
        machine.host(),
        Math.round((nowMs - machine.bootingSinceMs()) / MS_PER_S));
    backoffs.backOff(MachineGroup.of(machine));
    return true;
  }

  /** It sends heartbeats, and commands don't reach it: paid for and of no use. */
  private boolean isUnreachable(Machine machine, long nowMs, FleetConnectivity connectivity) {
    return machine.unreachableSinceMs() >= 0
        && nowMs - machine.unreachableSinceMs() >= leaseMs * MAX_UNREACHABLE_LEASES
        && connectivity.fewAreUnreachable();
  }

  /** Its lease expired a while ago, and it has sent no heartbeat since. */
  private boolean isLost(Machine machine, long nowMs, FleetConnectivity connectivity) {
    return nowMs > fleet.leaseExpiryMs(machine) + MAX_SILENCE_BEYOND_LEASE_MS
        && connectivity.mostSendHeartbeats();
  }
}
