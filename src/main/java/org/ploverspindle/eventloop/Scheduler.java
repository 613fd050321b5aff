package org.ploverspindle.eventloop;

/**
 * The event loop and its clocks: a single thread that owns all state on which decisions are based.
 * Tests replace it by a simulated scheduler, so that runs are reproducible.
 */
public interface Scheduler {
  /** Returns the time of the monotonic clock in milliseconds. Only differences are meaningful. */
  long nowMs();

  /**
   * Returns the time of the wall clock in milliseconds since the epoch. It is for ordering and
   * display only; no safety argument may use it.
   */
  long wallMs();

  /**
   * Runs the work once on the event loop. Waiting work of a higher priority runs first; work of the
   * same priority runs in the order of the calls. May be called on any thread.
   */
  void execute(EventPriority priority, Runnable work);

  /**
   * Runs the work once on the event loop, not before the delay has passed. Cancelling it after it
   * ran has no effect.
   */
  Cancellable schedule(long delayMs, Runnable work);

  /**
   * Runs the work repeatedly on the event loop until it is cancelled. The first run starts one
   * delay from now, and each further run starts one delay after the end of the run before it.
   *
   * @param delayMs the delay in milliseconds
   */
  default Cancellable scheduleWithFixedDelay(long delayMs, Runnable work) {
    return new PeriodicWork(this, delayMs, work).start();
  }
}
