package org.ploverspindle.cluster;

import java.util.function.LongSupplier;

/**
 * Whether a machine's heartbeats have stopped. A leader whose process was paused has missed them
 * itself, so the time counts from the end of its last pause. A timeout is a reason to place nothing
 * on the machine; it proves nothing about the tasks there, unlike the expiry of its lease.
 */
public final class HeartbeatTimeout {
  /** A quarter more than the period, for a heartbeat that is under way. */
  private static final double TIMEOUT_MS_PER_PERIOD_S = 1_250;

  private static final long MARGIN_MS = 1_500;

  private final long timeoutMs;
  private final long termStartMs;
  private final LongSupplier receivingSinceMs;

  /**
   * @param heartbeatPeriodS seconds between two heartbeats of a machine
   * @param termStartMs when the leader's term began, on the steady clock
   * @param receivingSinceMs since when the leader has received heartbeats without a pause of its
   *     own, on the steady clock
   */
  public HeartbeatTimeout(
      double heartbeatPeriodS, long termStartMs, LongSupplier receivingSinceMs) {
    this.timeoutMs = Math.round(heartbeatPeriodS * TIMEOUT_MS_PER_PERIOD_S) + MARGIN_MS;
    this.termStartMs = termStartMs;
    this.receivingSinceMs = receivingSinceMs;
  }

  /** Whether no heartbeat arrived for longer than the period and its margin. */
  public boolean isExpired(Machine machine, long nowMs) {
    long lastSignMs =
        machine.isUp() ? machine.lastHeartbeatMs() : Math.max(machine.knownSinceMs(), termStartMs);
    return nowMs - Math.max(lastSignMs, receivingSinceMs.getAsLong()) > timeoutMs;
  }
}
