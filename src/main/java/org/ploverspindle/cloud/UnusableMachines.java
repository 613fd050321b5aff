package org.ploverspindle.cloud;

import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.placement.MachineGroup;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Selects the machines that are terminated regardless of their pool's minimum: machines that are
 * marked as unusable, did not come up, have sent no heartbeat since their lease expired, are not
 * reached by commands, are draining, or have a spot notice.
 */
final class UnusableMachines {
  private static final Logger LOG = LoggerFactory.getLogger(UnusableMachines.class);

  private static final double MS_PER_S = 1_000;

  /**
   * For how long a machine may send heartbeats while commands do not reach it, as a multiple of the
   * worker lease.
   */
  private static final double MAX_UNREACHABLE_LEASES = 3;

  /**
   * For how long after the expiry of its worker lease a machine may send no heartbeat. The next
   * worker epoch of the machine may begin late.
   */
  private static final long MAX_SILENCE_BEYOND_LEASE_MS = 15_000;

  private final MachineRegistry fleet;
  private final BootTracker bootTracker;
  private final GroupBackoffs backoffs;
  private final long termStartMs;
  private final double workerLeaseMs;

  /**
   * @param termStartMs when the leader's term began, in milliseconds on the steady clock
   * @param workerLeaseS the duration of a worker lease, in seconds
   */
  UnusableMachines(
      MachineRegistry fleet,
      BootTracker bootTracker,
      GroupBackoffs backoffs,
      long termStartMs,
      double workerLeaseS) {
    this.fleet = fleet;
    this.bootTracker = bootTracker;
    this.backoffs = backoffs;
    this.termStartMs = termStartMs;
    this.workerLeaseMs = workerLeaseS * MS_PER_S;
  }

  /**
   * Returns the fleet's connectivity, to be passed to all calls of {@link #mustTerminate} in one
   * round.
   */
  FleetConnectivity connectivity(long nowMs) {
    return new FleetConnectivity(fleet, workerLeaseMs, nowMs);
  }

  /**
   * Whether the machine must be terminated. If that is because its boot is stuck, its group is
   * backed off.
   */
  boolean mustTerminate(Machine machine, long nowMs, FleetConnectivity connectivity) {
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

  /**
   * Whether a machine that is not up must be terminated. If its boot is stuck, its group is backed
   * off.
   */
  private boolean isStuck(Machine machine, long nowMs) {
    if (!machine.placements().isEmpty()) {
      return false;
    }
    if (machine.isDraining() || machine.hasSpotNotice()) {
      return true;
    }
    // A machine that an earlier leader knew may be up and run tasks behind a network partition.
    // Therefore its worker lease must have expired as well.
    boolean leaseExpired =
        nowMs - termStartMs > fleet.leaseExpiryMs(machine) - machine.knownSinceMs();
    if (!leaseExpired || !bootTracker.isStuck(machine, nowMs)) {
      return false;
    }
    LOG.info(
        "machine did not come up, terminated and group backs off: machine={} booting_s={}",
        machine.host(),
        Math.round((nowMs - machine.bootingSinceMs()) / MS_PER_S));
    backoffs.backOff(MachineGroup.of(machine));
    return true;
  }

  /**
   * Whether the machine has sent heartbeats for a long time while commands did not reach it,
   * although they reach at least half of the fleet. Such a machine is paid for and cannot be used.
   */
  private boolean isUnreachable(Machine machine, long nowMs, FleetConnectivity connectivity) {
    return machine.unreachableSinceMs() >= 0
        && nowMs - machine.unreachableSinceMs() >= workerLeaseMs * MAX_UNREACHABLE_LEASES
        && connectivity.atMostHalfAreUnreachable();
  }

  /**
   * Whether the machine's worker lease expired some time ago and it has sent no heartbeat since,
   * although at least half of the machines that are up send heartbeats.
   */
  private boolean isLost(Machine machine, long nowMs, FleetConnectivity connectivity) {
    return nowMs > fleet.leaseExpiryMs(machine) + MAX_SILENCE_BEYOND_LEASE_MS
        && connectivity.atLeastHalfSendHeartbeats();
  }
}
