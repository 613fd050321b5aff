package org.ploverspindle.sim;

/** A machine that stands still at times: what waits for it, and how long its work takes then. */
final class SimPause {
  private final SimClock clock;
  private long untilMs;
  private long scheduledMs;

  SimPause(SimClock clock) {
    this.clock = clock;
  }

  /** Begins a pause, or lengthens the one that there is; a shorter one changes nothing. */
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

  /** After so much time in which the machine did not stand still. */
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
