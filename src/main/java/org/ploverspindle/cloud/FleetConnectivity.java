package org.ploverspindle.cloud;

import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;

/**
 * How the fleet as a whole hears and is heard, counted once in a look and only if asked for: a zone
 * that is cut off has thousands of machines that ask.
 */
final class FleetConnectivity {
  private final MachineRegistry fleet;
  private final double leaseMs;
  private final long nowMs;
  private boolean counted;
  private int deaf;
  private int up;
  private int heard;

  FleetConnectivity(MachineRegistry fleet, double leaseMs, long nowMs) {
    this.fleet = fleet;
    this.leaseMs = leaseMs;
    this.nowMs = nowMs;
  }

  /** When many machines do not hear, it is our own line that is broken. */
  boolean fewAreUnreachable() {
    count();
    return deaf * 2 <= fleet.all().size();
  }

  /** When most machines are silent, it is we who are cut off, not they who died. */
  boolean mostSendHeartbeats() {
    count();
    return heard * 2 >= up;
  }

  private void count() {
    if (counted) {
      return;
    }
    counted = true;
    for (Machine machine : fleet.all()) {
      deaf += machine.unreachableSinceMs() >= 0 ? 1 : 0;
      up += machine.isUp() ? 1 : 0;
      heard += machine.isUp() && nowMs - machine.lastHeartbeatMs() < leaseMs ? 1 : 0;
    }
  }
}
