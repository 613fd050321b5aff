package org.ploverspindle.leadership;

import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.eventloop.TaskTimings;
import org.ploverspindle.placement.Placer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides when pending tasks are placed, and when running ones are preempted. */
final class SchedulingRounds {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingRounds.class);

  /** Changes within this time are served by one round. */
  private static final long MIN_PAUSE_MS = 40;

  /**
   * The pause before a round is so many times as long as the last round took. Without it, placing a
   * large backlog would leave no processor time for the heartbeats that work it off.
   */
  private static final int PAUSE_PER_ROUND = 3;

  private final Scheduler scheduler;
  private final Placer placer;
  private final JobArrivals arrivals;
  private final TaskTimings timings;
  private final BooleanSupplier isAuthoritative;
  private OptionalLong notBeforeMs = OptionalLong.empty();
  private long lastRoundDurationMs;
  private boolean scheduled;
  private boolean closed;

  /**
   * @param isAuthoritative whether this leader may decide now
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

  /** From now on no round is scheduled. */
  void close() {
    closed = true;
  }

  /** Places nothing before that time: until then tasks may run that no record mentions. */
  void notBefore(long atMs) {
    notBeforeMs = OptionalLong.of(atMs);
  }

  /** Schedules a round; calls before it begins are served by the same one. */
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

  /** Preempts running tasks where high-priority jobs find no free resources. */
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
