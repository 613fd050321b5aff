package org.ploverspindle.eventloop;

/** Work that runs again a fixed delay after the end of each run, until it is cancelled. */
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

  /** Schedules the first run, which starts one delay from now. */
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
      // The next run is scheduled even if this one threw: a single unreadable record must not end
      // the periodic work.
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
