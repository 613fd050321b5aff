package org.ploverspindle.sim;

import java.util.PriorityQueue;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.EventPriority;
import org.ploverspindle.eventloop.Scheduler;

/**
 * Simulated time: a single queue of events for the whole simulation. Events of the same time run in
 * the order in which they were added, so that runs are repeatable.
 */
final class SimClock {
  private record Event(long atMs, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atMs != other.atMs
          ? Long.compare(atMs, other.atMs)
          : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nextSequence;
  private long nowMs;

  long nowMs() {
    return nowMs;
  }

  void after(long delayMs, Runnable action) {
    events.add(new Event(nowMs + Math.max(0, delayMs), nextSequence++, action));
  }

  void runUntil(long endMs) {
    while (!events.isEmpty() && events.peek().atMs() <= endMs) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.action().run();
    }
    nowMs = endMs;
  }

  /**
   * The event loop of one process, with clocks of its own offset and rate. After {@link #kill}
   * nothing of the process runs.
   */
  final class Process implements Scheduler {
    private long clockOffsetMs;
    private final double clockRate;
    private final long wallClockOffsetMs;
    private boolean isDead;
    private long frozenUntilMs;

    Process(long clockOffsetMs, double clockRate, long wallClockOffsetMs) {
      this.clockOffsetMs = clockOffsetMs;
      this.clockRate = clockRate;
      this.wallClockOffsetMs = wallClockOffsetMs;
    }

    /**
     * Runs nothing of the process for {@code durationMs}, while its clocks run on; events that are
     * due in that time run at its end.
     */
    void freeze(long durationMs) {
      frozenUntilMs = nowMs + durationMs;
    }

    /** Moves the monotonic clock of the process by {@code byMs}, which may be negative. */
    void jumpClock(long byMs) {
      clockOffsetMs += byMs;
    }

    boolean isFrozen() {
      return nowMs < frozenUntilMs;
    }

    private void run(Runnable action) {
      if (isFrozen()) {
        after(frozenUntilMs - nowMs, () -> run(action));
      } else if (!isDead) {
        action.run();
      }
    }

    void kill() {
      isDead = true;
    }

    boolean isDead() {
      return isDead;
    }

    @Override
    public long nowMs() {
      return clockOffsetMs + Math.round(nowMs * clockRate);
    }

    @Override
    public long wallMs() {
      return 1_800_000_000_000L + nowMs + wallClockOffsetMs;
    }

    @Override
    public void execute(EventPriority priority, Runnable action) {
      schedule(0, action);
    }

    @Override
    public Cancellable schedule(long delayMs, Runnable action) {
      boolean[] cancelled = {false};
      after(
          Math.round(delayMs / clockRate),
          () -> {
            if (!cancelled[0]) {
              run(action);
            }
          });
      return () -> cancelled[0] = true;
    }
  }
}
