package org.ploverspindle.leadership;

import java.util.function.BooleanSupplier;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.eventloop.TaskTimings;
import org.ploverspindle.placement.Placer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** When waiting tasks are placed, and when running ones are stopped for more pressing ones. */
final class SchedulingRounds {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingRounds.class);

  /** What happens within this time after a change is placed together. */
  private static final long MIN_PAUSE_MS = 40;

  /**
   * A pause lasts so many times as long as the last round took. Without it, placing a large backlog
   * would leave no room for the reports that end it.
   */
  private static final int PAUSE_PER_ROUND = 3;

  private final Scheduler scheduler;
  private final Placer placer;
  private final JobArrivals arrivals;
  private final TaskTimings timings;
  private final BooleanSupplier isAuthoritative;
  private long notBeforeMs = Long.MIN_VALUE;
  private long lastRoundDurationMs;
  private boolean scheduled;
  private boolean closed;

  /**
   * @param isAuthoritative whether this leader is sure of its lead
   */
  SchedulingRounds(
      Scheduler scheduler,
      Placer placer,
      JobArrivals arrivals,
      TaskTimings timings,
      BooleanSupplier isAuthoritative) {
    this.scheduler = scheduler;
    this.placer = placer;
    this.arrivals = arrivals;
    this.timings = timings;
    this.isAuthoritative = isAuthoritative;
  }

  /** From now on no round is planned. */
  void close() {
    closed = true;
  }

  /** Nothing is placed before: tasks may still run where no record says that they do. */
  void notBefore(long atMs) {
    notBeforeMs = atMs;
  }

  /** Has waiting tasks placed soon; calls before the round begins are served by that one. */
  void schedule() {
    if (scheduled || closed) {
      return;
    }
    scheduled = true;
    scheduler.schedule(
        Math.max(MIN_PAUSE_MS, PAUSE_PER_ROUND * lastRoundDurationMs), this::runRound);
  }

  private void runRound() {
    scheduled = false;
    long nowMs = scheduler.nowMs();
    if (!isAuthoritative.getAsBoolean() || nowMs < notBeforeMs) {
      return;
    }
    arrivals.update();
    timings.run("placing", () -> placer.run(nowMs, scheduler.wallMs()));
    lastRoundDurationMs = scheduler.nowMs() - nowMs;
  }

  /** Stops tasks, if need be, so that pressing jobs find room. */
  void preempt() {
    timings.run("preemption", this::preemptIfAuthoritative);
  }

  private void preemptIfAuthoritative() {
    if (!isAuthoritative.getAsBoolean()) {
      return;
    }
    arrivals.update();
    int stopped = placer.preempt(scheduler.nowMs(), scheduler.wallMs());
    if (stopped > 0) {
      LOG.info("{} tasks are stopped to make room for pressing jobs", stopped);
    }
  }
}
