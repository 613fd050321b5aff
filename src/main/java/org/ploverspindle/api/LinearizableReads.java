package org.ploverspindle.api;

import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.Replica;

/**
 * Linearizable reads for users: waits until the replica is as new as a request, for as long as its
 * user waits.
 */
final class LinearizableReads {
  private static final long BARRIER_TIMEOUT_MS = 1_400;

  /**
   * Far above the replica's read interval. At such an age the state service can't be reached, and
   * waiting for the next read would only use up the user's time.
   */
  private static final long STALE_AFTER_MS = 4_000;

  private final Scheduler scheduler;
  private final Replica replica;

  LinearizableReads(Scheduler scheduler, Replica replica) {
    this.scheduler = scheduler;
    this.replica = replica;
  }

  /**
   * Calls once: with true when the replica is as new as this call, with false when that takes
   * longer than the user waits.
   */
  void readBarrier(Consumer<Boolean> then) {
    readBarrier(replica::readBarrier, then);
  }

  /** The same for a request that may wait for reads that others need anyway. */
  void lowPriorityReadBarrier(Consumer<Boolean> then) {
    readBarrier(replica::lowPriorityReadBarrier, then);
  }

  private void readBarrier(Consumer<Consumer<Boolean>> startRead, Consumer<Boolean> then) {
    if (isStale()) {
      // The read is started all the same, for later requests.
      refresh();
      then.accept(false);
      return;
    }
    long receivedMs = scheduler.nowMs();
    // The clock is read again: when this process was suspended in between, other controllers may
    // have answered with something newer.
    Consumer<Boolean> firstResult =
        new FirstValueConsumer<>(
            fresh -> then.accept(fresh && scheduler.nowMs() - receivedMs <= BARRIER_TIMEOUT_MS));
    startRead.accept(firstResult);
    scheduler.schedule(BARRIER_TIMEOUT_MS, () -> firstResult.accept(false));
  }

  /** Whether the last read is so long ago that the next one will hardly be answered in time. */
  boolean isStale() {
    return scheduler.nowMs() - replica.freshAsOfMs() > STALE_AFTER_MS;
  }

  /** Whether the replica has read the whole state at least once. */
  boolean isLoaded() {
    return replica.isLoaded();
  }

  /** Starts a read of the replica, for later requests. */
  void refresh() {
    replica.readBarrier(fresh -> {});
  }
}
