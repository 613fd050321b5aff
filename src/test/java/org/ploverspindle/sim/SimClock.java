package org.ploverspindle.sim;

import java.util.PriorityQueue;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.EventPriority;
import org.ploverspindle.eventloop.Scheduler;

/** Simulated time: one queue of events for the whole world, in a fixed order. */
final class SimClock {
  private record Event(long atMs, long order, Runnable work) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return atMs != o.atMs ? Long.compare(atMs, o.atMs) : Long.compare(order, o.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long order;
  private long nowMs;

  long nowMs() {
    return nowMs;
  }

  void at(long delayMs, Runnable work) {
    events.add(new Event(nowMs + Math.max(0, delayMs), order++, work));
  }

  void runUntil(long endMs) {
    while (!events.isEmpty() && events.peek().atMs() <= endMs) {
      Event e = events.poll();
      nowMs = e.atMs();
      e.work().run();
    }
    nowMs = endMs;
  }

  /** One process's view: its own offset and drift, and an end after which nothing of it runs. */
  final class Process implements Scheduler {
    private long offsetMs;
    private final double speed;
    private final long wallOffMs;
    private boolean dead;
    private long standsStillUntilMs;

    Process(long offsetMs, double speed, long wallOffMs) {
      this.offsetMs = offsetMs;
      this.speed = speed;
      this.wallOffMs = wallOffMs;
    }

    /** Nothing of it runs for a while, and its clock runs on; then all that is due runs. */
    void freeze(long forMs) {
      standsStillUntilMs = nowMs + forMs;
    }

    /** Its steady clock jumps by so much, also back. */
    void jump(long byMs) {
      offsetMs += byMs;
    }

    boolean standsStill() {
      return nowMs < standsStillUntilMs;
    }

    private void run(Runnable work) {
      if (standsStill()) {
        at(standsStillUntilMs - nowMs, () -> run(work));
      } else if (!dead) {
        work.run();
      }
    }

    void kill() {
      dead = true;
    }

    boolean dead() {
      return dead;
    }

    @Override
    public long nowMs() {
      return offsetMs + Math.round(nowMs * speed);
    }

    @Override
    public long wallMs() {
      return 1_800_000_000_000L + nowMs + wallOffMs;
    }

    @Override
    public void execute(EventPriority rank, Runnable work) {
      schedule(0, work);
    }

    @Override
    public Cancellable schedule(long delayMs, Runnable work) {
      boolean[] cancelled = {false};
      at(
          Math.round(delayMs / speed),
          () -> {
            if (!cancelled[0]) {
              run(work);
            }
          });
      return () -> cancelled[0] = true;
    }
  }
}
