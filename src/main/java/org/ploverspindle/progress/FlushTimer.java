package org.ploverspindle.progress;

import java.util.Optional;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.Scheduler;

/**
 * Schedules the next flush of pending progress. At most one flush is scheduled at a time, and none
 * runs while a write is in flight or after {@link #close}.
 */
final class FlushTimer {
  private final Scheduler scheduler;
  private final Runnable flush;
  private Optional<Cancellable> scheduled = Optional.empty();
  private long scheduledForMs;
  private boolean writeInFlight;
  private boolean closed;

  FlushTimer(Scheduler scheduler, Runnable flush) {
    this.scheduler = scheduler;
    this.flush = flush;
  }

  /**
   * Schedules the next flush after this delay, unless one is already scheduled for that time or an
   * earlier one. Has no effect while a write is in flight or after {@link #close}.
   */
  void flushWithin(long delayMs) {
    long dueMs = scheduler.nowMs() + delayMs;
    if (writeInFlight || closed || scheduled.isPresent() && scheduledForMs <= dueMs) {
      return;
    }
    scheduled.ifPresent(Cancellable::cancel);
    scheduledForMs = dueMs;
    scheduled = Optional.of(scheduler.schedule(delayMs, this::fire));
  }

  private void fire() {
    scheduled = Optional.empty();
    if (!writeInFlight && !closed) {
      flush.run();
    }
  }

  /**
   * Called when a write, or the read-back after it, starts. No flush is scheduled or run until
   * {@link #writeEnded}.
   */
  void writeStarted() {
    writeInFlight = true;
  }

  void writeEnded() {
    writeInFlight = false;
  }

  /** Prevents all further flushes. */
  void close() {
    closed = true;
  }

  boolean isClosed() {
    return closed;
  }
}
