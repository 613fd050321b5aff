package org.ploverspindle.leadership;

import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.eventloop.WorkTimings;
import org.ploverspindle.placement.Placer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the rounds that place pending tasks, and the preemption of running tasks. */
final class SchedulingRounds {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingRounds.class);

  /** The shortest pause before a round. All changes within the pause are handled by that round. */
  private static final long MIN_PAUSE_MS = 40;

  /**
   * The pause before a round is this many times the duration of the last round. Without it, placing
   * a large backlog would leave no processor time to handle the heartbeats by which placed tasks
   * are launched.
   */
  private static final int PAUSE_TO_ROUND_RATIO = 3;

  private final Scheduler scheduler;
  private final Placer placer;
  private final JobArrivals arrivals;
  private final WorkTimings timings;
  private final BooleanSupplier isAuthoritative;
  private OptionalLong notBeforeMs = OptionalLong.empty();
  private long lastRoundDurationMs;
  private boolean scheduled;
  private boolean closed;

  /**
   * @param isAuthoritative whether this leader's lease is certainly valid
   */
  SchedulingRounds(
      Scheduler scheduler,
      Placer placer,
      JobArrivals arrivals,
      WorkTimings timings,
      BooleanSupplier isAuthoritative) {
    this.scheduler = scheduler;
    this.placer = placer;
    this.arrivals = arrivals;
    this.timings = timings;
    this.isAuthoritative = isAuthoritative;
  }

  /** Schedules no round from now on. */
  void close() {
    closed = true;
  }

  /** Places nothing before this time, as tasks that no record mentions may run until then. */
  void notBefore(long atMs) {
    notBeforeMs = OptionalLong.of(atMs);
  }

  /** Schedules a round. Further calls before the round begins have no effect. */
  void schedule() {
    if (scheduled || closed) {
      return;
    }
    scheduled = true;
    scheduler.schedule(
        Math.max(MIN_PAUSE_MS, PAUSE_TO_ROUND_RATIO * lastRoundDurationMs), this::runRound);
  }

  private void runRound() {
    scheduled = false;
    long nowMs = scheduler.nowMs();
    if (!isAuthoritative.getAsBoolean() || isTooEarly(nowMs)) {
      return;
    }
    arrivals.update();
    timings.run("placement", () -> placer.run(nowMs, scheduler.wallMs()));
    lastRoundDurationMs = scheduler.nowMs() - nowMs;
  }

  private boolean isTooEarly(long nowMs) {
    return notBeforeMs.isPresent() && nowMs < notBeforeMs.getAsLong();
  }

  /** Preempts running tasks to free resources for high-priority jobs that found none. */
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
      LOG.info("tasks preempted: count={}", stopped);
    }
  }
}
