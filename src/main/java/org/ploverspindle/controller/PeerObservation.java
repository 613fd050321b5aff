package org.ploverspindle.controller;

/**
 * What one other controller's messages show: whether it can be heard, and whether it reads the
 * state service. All times are those of this controller's monotonic clock, in milliseconds.
 */
final class PeerObservation {
  /** How long a report of a read is valid; the next one may be lost. */
  private static final long REPORT_VALID_MS = 5_000;

  /**
   * Two reports must be this far apart. A single one, or several at once, may have been held back
   * in the network since before an outage.
   */
  private static final long MIN_CONFIRMATION_MS = 800;

  /** A reported read may have been sent this long before the report arrives. */
  private static final long MAX_REPORT_DELAY_MS = 3_000;

  static final long NEVER_MS = Long.MIN_VALUE / 2;

  private long lastHeardMs = NEVER_MS;
  private long readingSinceMs = NEVER_MS;
  private long lastReadingMs = NEVER_MS;

  /** Records a message of any kind. */
  void recordMessage(long nowMs) {
    lastHeardMs = nowMs;
  }

  /** Records a report of whether the other controller reads the state service. */
  void recordReport(boolean reads, long nowMs) {
    if (!reads) {
      lastReadingMs = NEVER_MS;
      return;
    }
    if (nowMs - lastReadingMs > REPORT_VALID_MS) {
      readingSinceMs = nowMs;
    }
    lastReadingMs = nowMs;
  }

  long lastHeardMs() {
    return lastHeardMs;
  }

  /**
   * Returns whether the other controller has read the state service after {@code timeMs}, and
   * recently.
   */
  boolean hasReadAfter(long timeMs, long nowMs) {
    return nowMs - lastReadingMs <= REPORT_VALID_MS
        && lastReadingMs - readingSinceMs >= MIN_CONFIRMATION_MS
        && lastReadingMs - timeMs >= MAX_REPORT_DELAY_MS;
  }
}
