package org.ploverspindle.api;

import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.Replica;

/** Waits until the replica is as new as a user's question, for as long as the user waits. */
final class LinearizableReads {
  private static final long BARRIER_TIMEOUT_MS = 1_400;

  /** The replica is read more often than that: who waits for the next read would wait in vain. */
  private static final long STALE_AFTER_MS = 4_000;

  private final Scheduler scheduler;
  private final Replica replica;

  LinearizableReads(Scheduler scheduler, Replica replica) {
    this.scheduler = scheduler;
    this.replica = replica;
  }

  /** Calls with true at the barrier, or with false when it can't be had in the user's time. */
  void readBarrier(Consumer<Boolean> then) {
    readBarrier(replica::readBarrier, then);
  }

  /** The same for who has time. */
  void lowPriorityReadBarrier(Consumer<Boolean> then) {
    readBarrier(replica::lowPriorityReadBarrier, then);
  }

  private void readBarrier(Consumer<Consumer<Boolean>> read, Consumer<Boolean> then) {
    long cameMs = scheduler.nowMs();
    boolean[] answered = {false};
    Consumer<Boolean> once =
        fresh -> {
          if (!answered[0]) {
            answered[0] = true;
            // Where this process stood still in between, others may have said newer things.
            then.accept(fresh && scheduler.nowMs() - cameMs <= BARRIER_TIMEOUT_MS);
          }
        };
    if (isStale()) {
      // It is tried all the same, for those who come later; this one is told at once.
      refresh();
      once.accept(false);
      return;
    }
    read.accept(once);
    scheduler.schedule(BARRIER_TIMEOUT_MS, () -> once.accept(false));
  }

  /** Has the replica not been read for so long that the next read will hardly come in time? */
  boolean isStale() {
    return scheduler.nowMs() - replica.freshAsOfMs() > STALE_AFTER_MS;
  }

  boolean isLoaded() {
    return replica.isLoaded();
  }

  /** Has the replica read, for those who come later. */
  void refresh() {
    replica.readBarrier(fresh -> {});
  }
}
