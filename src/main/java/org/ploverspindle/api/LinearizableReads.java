package org.ploverspindle.api;

import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.Replica;

/**
 * Provides linearizable reads for users: waits until the replica is as recent as a request, but no
 * longer than its user waits.
 */
final class LinearizableReads {
  /** Longest time that a request waits for a read barrier. */
  private static final long BARRIER_TIMEOUT_MS = 1_400;

  /**
   * Age above which the replica is stale, far above its read interval. A replica of such an age
   * means that the state service can't be reached, and waiting for the next read would only use up
   * the user's time.
   */
  private static final long STALE_AFTER_MS = 4_000;

  private final Scheduler scheduler;
  private final Replica replica;

  LinearizableReads(Scheduler scheduler, Replica replica) {
    this.scheduler = scheduler;
    this.replica = replica;
  }

  /**
   * Calls {@code then} once: with true when the replica holds everything that was committed before
   * this call, or with false if the state service can't be read within the time that the user
   * waits.
   */
  void readBarrier(Consumer<Boolean> then) {
    readBarrier(replica::readBarrier, then);
  }

  /**
   * Like {@link #readBarrier(Consumer)}, for a request that may wait for reads that other requests
   * cause.
   */
  void lowPriorityReadBarrier(Consumer<Boolean> then) {
    readBarrier(replica::lowPriorityReadBarrier, then);
  }

  private void readBarrier(Consumer<Consumer<Boolean>> startRead, Consumer<Boolean> then) {
    if (isStale()) {
      // A read is started nevertheless, for later requests.
      refresh();
      then.accept(false);
      return;
    }
    long receivedMs = scheduler.nowMs();
    // The time is checked when the read is complete: if this process was suspended meanwhile, other
    // controllers may have sent responses with a newer state.
    Consumer<Boolean> firstResult =
        new FirstValueConsumer<>(
            fresh -> then.accept(fresh && scheduler.nowMs() - receivedMs <= BARRIER_TIMEOUT_MS));
    startRead.accept(firstResult);
    scheduler.schedule(BARRIER_TIMEOUT_MS, () -> firstResult.accept(false));
  }

  /** Whether the last read is so long ago that the next one is unlikely to complete in time. */
  boolean isStale() {
    return scheduler.nowMs() - replica.freshAsOfMs() > STALE_AFTER_MS;
  }

  /** Whether the replica has read the whole state at least once. */
  boolean isLoaded() {
    return replica.isLoaded();
  }

  /** Starts a read barrier for later requests, without waiting for it. */
  void refresh() {
    replica.readBarrier(fresh -> {});
  }
}
