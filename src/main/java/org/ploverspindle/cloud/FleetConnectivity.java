package org.ploverspindle.cloud;

import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;

/**
 * How many machines of the fleet can be reached and send heartbeats, counted at most once in a
 * scale-in round: when a zone is cut off, thousands of machines ask in the same round.
 */
final class FleetConnectivity {
  private final MachineRegistry fleet;
  private final double leaseMs;
  private final long nowMs;
  private boolean counted;
  private int unreachable;
  private int up;
  private int sendingHeartbeats;

  FleetConnectivity(MachineRegistry fleet, double leaseMs, long nowMs) {
    this.fleet = fleet;
    this.leaseMs = leaseMs;
    this.nowMs = nowMs;
  }

  /** False when so many machines are unreachable that the fault must be on the leader's side. */
  boolean fewAreUnreachable() {
    count();
    return unreachable * 2 <= fleet.all().size();
  }

  /**
   * False when most machines are silent: then the leader is cut off, the machines have not died.
   */
  boolean mostSendHeartbeats() {
    count();
    return sendingHeartbeats * 2 >= up;
  }

  private void count() {
    if (counted) {
      return;
    }
    counted = true;
    for (Machine machine : fleet.all()) {
      unreachable += machine.unreachableSinceMs() >= 0 ? 1 : 0;
      up += machine.isUp() ? 1 : 0;
      sendingHeartbeats += machine.isUp() && nowMs - machine.lastHeartbeatMs() < leaseMs ? 1 : 0;
    }
  }
}
