package org.ploverspindle.eventloop;

/** Periodic work: runs again a period after each run ended, until it is cancelled. */
final class PeriodicTask implements Cancellable {
  private final Scheduler scheduler;
  private final long periodMs;
  private final Runnable work;
  private boolean cancelled;

  PeriodicTask(Scheduler scheduler, long periodMs, Runnable work) {
    this.scheduler = scheduler;
    this.periodMs = periodMs;
    this.work = work;
  }

  /** Schedules the first run, a period from now. */
  PeriodicTask start() {
    scheduler.schedule(periodMs, this::run);
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
        scheduler.schedule(periodMs, this::run);
      }
    }
  }

  @Override
  public void cancel() {
    cancelled = true;
  }
}
