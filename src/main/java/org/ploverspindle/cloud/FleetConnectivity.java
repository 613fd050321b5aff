package org.ploverspindle.cloud;

import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;

/**
 * Whether commands reach most machines of the fleet and most machines send heartbeats. One object
 * serves one scale-in round and counts the machines at most once: during a network partition of a
 * zone, the answer is needed for thousands of machines in the same round.
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

  /**
   * Whether commands fail to reach at most half of the machines. If they fail to reach more, the
   * fault must be on the leader's side.
   */
  boolean fewAreUnreachable() {
    count();
    return unreachable * 2 <= fleet.all().size();
  }

  /**
   * Whether at least half of the machines that are up have sent a heartbeat within the last worker
   * lease. If fewer have, the leader is partitioned from the machines, and their silence does not
   * show that they have failed.
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
