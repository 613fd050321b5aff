package org.ploverspindle.state;

import org.ploverspindle.eventloop.Scheduler;

/**
 * Decides when a replica may send its next read, so that its reads stay within this process's share
 * of the state service's request rate limit.
 */
final class ReadPacing {
  /**
   * A time before any time of the scheduler. Its distance from the ends of the range of {@code
   * long} keeps differences and sums with it from overflowing.
   */
  static final long NEVER_MS = Long.MIN_VALUE / 2;

  private static final long INITIAL_INTERVAL_MS = 150;

  /** The number of urgent reads that may be sent ahead of the share. */
  private static final long BURST_READS = 2;

  /**
   * The factor between the average read interval and the interval of low-priority reads. With 2,
   * low-priority reads use half of the share, and the other half is left for urgent reads.
   */
  private static final long LOW_PRIORITY_INTERVAL_FACTOR = 2;

  /**
   * The upper bound of the time between reads for low-priority readers and after failed reads,
   * however small the share is.
   */
  private static final long MAX_INTERVAL_MS = 600;

  private final Scheduler scheduler;
  private long intervalMs = INITIAL_INTERVAL_MS;
  private long lastSentMs = NEVER_MS;

  /** The time until which the reads sent so far use up the share of requests. */
  private long shareUsedUntilMs = NEVER_MS;

  private int consecutiveFailures;

  ReadPacing(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Sets the average time between reads that the share allows, in milliseconds. */
  void setInterval(long ms) {
    intervalMs = ms;
  }

  /** Records that a read is being sent now. */
  void readSent() {
    lastSentMs = scheduler.nowMs();
    shareUsedUntilMs = Math.max(shareUsedUntilMs, lastSentMs) + intervalMs;
  }

  long lastSentMs() {
    return lastSentMs;
  }

  void readSucceeded() {
    consecutiveFailures = 0;
  }

  void readFailed() {
    consecutiveFailures++;
  }

  /**
   * Returns whether the last read was sent at least {@code ms} milliseconds ago. Each consecutive
   * failure adds another {@code ms} to this time.
   */
  boolean isLastReadOlderThan(long ms) {
    return scheduler.nowMs() - lastSentMs >= ms * (1 + consecutiveFailures);
  }

  /**
   * Returns the time from which the next read may be sent, which may be in the past.
   *
   * @param urgent whether a waiting reader needs the result soon
   */
  long nextReadMs(boolean urgent) {
    if (consecutiveFailures > 0) {
      // Failing reads back off, since leadership needs the rest of the request rate limit.
      return lastSentMs + Math.min(MAX_INTERVAL_MS, intervalMs * (1 + consecutiveFailures));
    }
    if (urgent) {
      return shareUsedUntilMs - BURST_READS * intervalMs;
    }
    return lastSentMs + Math.min(MAX_INTERVAL_MS, LOW_PRIORITY_INTERVAL_FACTOR * intervalMs);
  }
}
