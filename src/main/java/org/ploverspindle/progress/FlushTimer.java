package org.ploverspindle.progress;

import java.util.Optional;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.Scheduler;

/**
 * Schedules the next flush of pending progress. At most one flush is scheduled, and none runs while
 * a write is in flight or after the writer was closed.
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

  /** The next flush runs after this delay, or earlier if it is scheduled so already. */
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

  /** A write, or its read-back, is in flight: flushes wait for {@link #writeEnded}. */
  void writeStarted() {
    writeInFlight = true;
  }

  void writeEnded() {
    writeInFlight = false;
  }

  /** No flush runs any more. */
  void close() {
    closed = true;
  }

  boolean isClosed() {
    return closed;
  }
}
