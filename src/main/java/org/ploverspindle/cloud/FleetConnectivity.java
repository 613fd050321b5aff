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
  private final double workerLeaseMs;
  private final long nowMs;
  private boolean isCounted;
  private int unreachableCount;
  private int upCount;
  private int sendingHeartbeatsCount;

  FleetConnectivity(MachineRegistry fleet, double workerLeaseMs, long nowMs) {
    this.fleet = fleet;
    this.workerLeaseMs = workerLeaseMs;
    this.nowMs = nowMs;
  }

  /**
   * Whether commands fail to reach at most half of the machines. If they fail to reach more, the
   * fault must be on the leader's side.
   */
  boolean atMostHalfAreUnreachable() {
    count();
    return unreachableCount * 2 <= fleet.all().size();
  }

  /**
   * Whether at least half of the machines that are up have sent a heartbeat within the duration of
   * one worker lease. If fewer have, the leader is partitioned from the machines, and their silence
   * does not show that they have failed.
   */
  boolean atLeastHalfSendHeartbeats() {
    count();
    return sendingHeartbeatsCount * 2 >= upCount;
  }

  private void count() {
    if (isCounted) {
      return;
    }
    isCounted = true;
    for (Machine machine : fleet.all()) {
      unreachableCount += machine.unreachableSinceMs() >= 0 ? 1 : 0;
      upCount += machine.isUp() ? 1 : 0;
      sendingHeartbeatsCount +=
          machine.isUp() && nowMs - machine.lastHeartbeatMs() < workerLeaseMs ? 1 : 0;
    }
  }
}
