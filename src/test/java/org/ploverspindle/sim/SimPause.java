package org.ploverspindle.sim;

/** Pauses of a machine that hangs, which postpone and prolong the work that runs on it. */
final class SimPause {
  private final SimClock clock;
  private long untilMs;
  private long scheduledMs;

  SimPause(SimClock clock) {
    this.clock = clock;
  }

  /** Begins a pause or extends the current one; has no effect if that one lasts longer. */
  void begin(long durationMs, Runnable onEnd) {
    long newUntilMs = clock.nowMs() + durationMs;
    if (newUntilMs <= untilMs) {
      return;
    }
    scheduledMs += newUntilMs - Math.max(clock.nowMs(), untilMs);
    untilMs = newUntilMs;
    clock.after(durationMs, onEnd);
  }

  boolean isActive() {
    return clock.nowMs() < untilMs;
  }

  void runAfterPause(Runnable action) {
    if (isActive()) {
      clock.after(untilMs - clock.nowMs(), () -> runAfterPause(action));
    } else {
      action.run();
    }
  }

  private long pausedMs() {
    return scheduledMs - Math.max(0, untilMs - clock.nowMs());
  }

  /** Runs the action after {@code activeMs} in which the machine was not paused. */
  void afterActiveTime(long activeMs, Runnable action) {
    long pausedBeforeMs = pausedMs();
    clock.after(
        activeMs,
        () -> {
          long missedMs = pausedMs() - pausedBeforeMs;
          if (missedMs > 0) {
            afterActiveTime(missedMs, action);
          } else {
            action.run();
          }
        });
  }
}
