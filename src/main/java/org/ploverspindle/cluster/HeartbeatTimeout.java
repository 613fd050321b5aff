package org.ploverspindle.cluster;

import java.util.function.LongSupplier;

/**
 * Whether a machine has missed its reports. A leader that stood still has missed them itself: its
 * own listening counts from the end of its pause. Silence proves nothing about tasks.
 */
public final class HeartbeatTimeout {
  /** Beyond its report period and a quarter, for a report that is on its way. */
  private static final double TIMEOUT_MS_PER_PERIOD_S = 1_250;

  private static final long MARGIN_MS = 1_500;

  private final long timeoutMs;
  private final long termStartMs;
  private final LongSupplier receivingSinceMs;

  /**
   * @param reportS the time between a machine's reports
   * @param termStartMs when the leader's term began, on the steady clock
   * @param receivingSinceMs since when the leader has listened without a pause of its own
   */
  public HeartbeatTimeout(
      double heartbeatPeriodS, long termStartMs, LongSupplier receivingSinceMs) {
    this.timeoutMs = Math.round(heartbeatPeriodS * TIMEOUT_MS_PER_PERIOD_S) + MARGIN_MS;
    this.termStartMs = termStartMs;
    this.receivingSinceMs = receivingSinceMs;
  }

  /** Has it been silent for longer than a machine that reports can be? */
  public boolean isExpired(Machine machine, long nowMs) {
    long lastSignMs =
        machine.isUp() ? machine.lastHeartbeatMs() : Math.max(machine.knownSinceMs(), termStartMs);
    return nowMs - Math.max(lastSignMs, receivingSinceMs.getAsLong()) > timeoutMs;
  }
}
