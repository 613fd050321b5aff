package org.ploverspindle.eventloop;

/** Periodic work: runs again a period after each run ended, until it is cancelled. */
final class PeriodicWork implements Cancellable {
  private final Scheduler scheduler;
  private final long delayMs;
  private final Runnable work;
  private boolean cancelled;

  PeriodicWork(Scheduler scheduler, long delayMs, Runnable work) {
    this.scheduler = scheduler;
    this.delayMs = delayMs;
    this.work = work;
  }

  /** Schedules the first run, a period from now. */
  PeriodicWork start() {
    scheduler.schedule(delayMs, this::run);
    return this;
  }

  private void run() {
    if (cancelled) {
      return;
    }
    try {
      work.run();
    } finally {
      // Also after a run that threw: one unreadable record must not end the periodic work.
      if (!cancelled) {
        scheduler.schedule(delayMs, this::run);
      }
    }
  }

  @Override
  public void cancel() {
    cancelled = true;
  }
}
