package org.ploverspindle.eventloop;

/**
 * The event loop and its clocks: a single thread that owns all state on which decisions rest. Tests
 * replace it by a simulated one, so that runs are repeatable.
 */
public interface Scheduler {
  /** Monotonic clock in milliseconds. Only differences are meaningful. */
  long nowMs();

  /** Wall clock in milliseconds. For ordering and display only; no safety argument may use it. */
  long wallMs();

  /**
   * Runs the work once on the event loop: work of a higher priority first, and within a priority in
   * the order of the calls. May be called on any thread.
   */
  void execute(EventPriority priority, Runnable work);

  /**
   * Runs the work once on the event loop, not before the delay has passed. Cancelling after it ran
   * has no effect.
   */
  Cancellable schedule(long delayMs, Runnable work);

  /**
   * Runs the work periodically on the event loop until it is cancelled: first a period from now,
   * then a period after each run ended.
   */
  default Cancellable scheduleWithFixedDelay(long delayMs, Runnable work) {
    return new PeriodicWork(this, delayMs, work).start();
  }
}
