package org.ploverspindle.cluster;

import java.util.function.LongSupplier;

/**
 * Decides whether a machine's heartbeats have stopped. A leader whose process was paused missed
 * heartbeats itself, so the time counts from the end of its last pause at the earliest. After a
 * timeout no tasks are placed on the machine. Unlike the expiry of the worker lease, a timeout
 * proves nothing about the tasks that are on the machine.
 */
public final class HeartbeatTimeout {
  /**
   * Milliseconds of timeout for each second of the heartbeat interval: the interval and a quarter
   * of it, for a heartbeat in transit.
   */
  private static final double TIMEOUT_MS_PER_INTERVAL_S = 1_250;

  private static final long MARGIN_MS = 1_500;

  private final long timeoutMs;
  private final long termStartMs;
  private final LongSupplier receivingSinceMs;

  /**
   * @param heartbeatIntervalS the heartbeat interval of a worker, in seconds
   * @param termStartMs when the leader's term began, on the steady clock
   * @param receivingSinceMs since when the leader has received heartbeats without a pause of its
   *     process, on the steady clock
   */
  public HeartbeatTimeout(
      double heartbeatIntervalS, long termStartMs, LongSupplier receivingSinceMs) {
    this.timeoutMs = Math.round(heartbeatIntervalS * TIMEOUT_MS_PER_INTERVAL_S) + MARGIN_MS;
    this.termStartMs = termStartMs;
    this.receivingSinceMs = receivingSinceMs;
  }

  /**
   * Whether no heartbeat of the machine has arrived for longer than the timeout. Without any
   * heartbeat in this term, the time counts from when the machine became known or the term began,
   * whichever is later.
   */
  public boolean isExpired(Machine machine, long nowMs) {
    long lastContactMs =
        machine.isUp() ? machine.lastHeartbeatMs() : Math.max(machine.knownSinceMs(), termStartMs);
    return nowMs - Math.max(lastContactMs, receivingSinceMs.getAsLong()) > timeoutMs;
  }
}
