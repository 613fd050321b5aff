package org.ploverspindle.loop;

/**
 * The one thread of control that owns the decisions' state, with its clock. Tests put a simulated
 * one in its place, so that decisions repeat exactly.
 */
public interface Scheduler {
  /** Steady clock in milliseconds; only differences mean anything. */
  long nowMs();

  /** Time of day in milliseconds; good for ordering and display, never for safety. */
  long wallMs();

  void execute(Rank rank, Runnable work);

  Cancellable schedule(long delayMs, Runnable work);

  /** Runs {@code work} every {@code periodMs} until cancelled; a late run is not made up for. */
  default Cancellable every(long periodMs, Runnable work) {
    return new Duty(this, periodMs, work).start();
  }
}
