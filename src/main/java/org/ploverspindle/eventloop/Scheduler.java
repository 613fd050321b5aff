package org.ploverspindle.eventloop;

/**
 * The single thread that owns all state on which decisions rest, and its clocks. Tests replace it
 * by a simulated one, so that runs are repeatable.
 */
public interface Scheduler {
  /** Monotonic clock in milliseconds. Only differences are meaningful. */
  long nowMs();

  /** Time of day in milliseconds. For ordering and display only; no safety argument may use it. */
  long wallMs();

  /** Runs the work once on the thread, in the order that its rank gives. Any thread may call. */
  void execute(EventPriority rank, Runnable work);

  /** Runs the work once on the thread, not before the delay has passed. */
  Cancellable schedule(long delayMs, Runnable work);

  /** Runs the work again and again, a period after each run ended, until it is cancelled. */
  default Cancellable every(long periodMs, Runnable work) {
    return new PeriodicTask(this, periodMs, work).start();
  }
}
