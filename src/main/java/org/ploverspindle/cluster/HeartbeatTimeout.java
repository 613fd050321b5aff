package org.ploverspindle.cluster;

import java.util.function.LongSupplier;

/**
 * Whether a machine has missed its reports. A leader that stood still has missed them itself: its
 * own listening counts from the end of its pause. Silence proves nothing about tasks.
 */
public final class HeartbeatTimeout {
  /** Beyond its report period and a quarter, for a report that is on its way. */
  private static final double MS_PER_REPORT_S = 1_250;

  private static final long MARGIN_MS = 1_500;

  private final long silentMs;
  private final long termStartMs;
  private final LongSupplier listeningSinceMs;

  /**
   * @param reportS the time between a machine's reports
   * @param termStartMs when the leader's term began, on the steady clock
   * @param listeningSinceMs since when the leader has listened without a pause of its own
   */
  public HeartbeatTimeout(double reportS, long termStartMs, LongSupplier listeningSinceMs) {
    this.silentMs = Math.round(reportS * MS_PER_REPORT_S) + MARGIN_MS;
    this.termStartMs = termStartMs;
    this.listeningSinceMs = listeningSinceMs;
  }

  /** Has it been silent for longer than a machine that reports can be? */
  public boolean isExpired(Machine machine, long nowMs) {
    long heardMs =
        machine.isUp() ? machine.lastHeartbeatMs() : Math.max(machine.knownSinceMs(), termStartMs);
    return nowMs - Math.max(heardMs, listeningSinceMs.getAsLong()) > silentMs;
  }
}
