package org.ploverspindle.state;

import org.ploverspindle.eventloop.Scheduler;

/** Decides when a replica may read, within this process's share of the state service's requests. */
final class ReadPacing {
  /** Before any time of the scheduler, and far enough from the ends of the range of long. */
  static final long NEVER_MS = Long.MIN_VALUE / 2;

  private static final long INITIAL_INTERVAL_MS = 150;

  /** How many reads may be sent ahead of the share. */
  private static final long BURST_READS = 2;

  /** Readers that can wait get half of the share: the other half is kept for urgent readers. */
  private static final long LOW_PRIORITY_INTERVAL_FACTOR = 2;

  /** The longest time between reads while readers wait, however small the share. */
  private static final long MAX_INTERVAL_MS = 600;

  private static final long RELOAD_BACKOFF_STEP_MS = 200;
  private static final long MAX_RELOAD_BACKOFF_MS = 2_000;

  private final Scheduler scheduler;
  private long intervalMs = INITIAL_INTERVAL_MS;
  private long lastSentMs = NEVER_MS;

  /** The reads that were sent use up the share of requests until then. */
  private long shareUsedUntilMs = NEVER_MS;

  private int consecutiveFailures;

  ReadPacing(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Sets the average time between reads that the share allows. */
  void setInterval(long ms) {
    intervalMs = ms;
  }

  /** A read is being sent now. */
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

  /** Whether the last read is this old; while reads fail, correspondingly older. */
  boolean isLastReadOlderThan(long ms) {
    return scheduler.nowMs() - lastSentMs >= ms * (1 + consecutiveFailures);
  }

  /**
   * When the next read may be sent; may be in the past.
   *
   * @param urgent whether a reader waits that should not wait for long
   */
  long nextReadMs(boolean urgent) {
    if (consecutiveFailures > 0) {
      // Backs off while reads fail: they must not use up the requests that leadership needs.
      return lastSentMs + Math.min(MAX_INTERVAL_MS, intervalMs * (1 + consecutiveFailures));
    }
    if (urgent) {
      return shareUsedUntilMs - BURST_READS * intervalMs;
    }
    return lastSentMs + Math.min(MAX_INTERVAL_MS, LOW_PRIORITY_INTERVAL_FACTOR * intervalMs);
  }

  /** How long to wait before a failed reload is tried again. */
  long reloadBackoffMs() {
    return Math.min(MAX_RELOAD_BACKOFF_MS, RELOAD_BACKOFF_STEP_MS * consecutiveFailures);
  }
}
