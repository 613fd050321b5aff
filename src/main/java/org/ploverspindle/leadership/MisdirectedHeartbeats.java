package org.ploverspindle.leadership;

import java.util.ArrayDeque;
import java.util.Deque;
import org.ploverspindle.cluster.MachineRegistry;

/**
 * Counts the recent heartbeats of this leader's machines that reached other controllers. A machine
 * that receives no responses from its leader sends its heartbeats to other controllers.
 */
final class MisdirectedHeartbeats {
  /** Heartbeats that are delayed in the network are assumed to arrive within this time. */
  private static final long MAX_HEARTBEAT_DELAY_MS = 60_000;

  /**
   * The number of delayed heartbeats that are expected for each machine that was removed within
   * {@link #MAX_HEARTBEAT_DELAY_MS}.
   */
  private static final double DELAYED_PER_REMOVED_MACHINE = 0.25;

  /** The number of heartbeats that another controller counted within about one second. */
  private record Count(long atMs, int heartbeats) {}

  /** The number of machines that had been removed in the term at {@code atMs}. */
  private record RemovedTotal(long atMs, long machines) {}

  private final MachineRegistry machines;
  private final long windowMs;
  private final Deque<Count> counts = new ArrayDeque<>();
  private final Deque<RemovedTotal> removedTotals = new ArrayDeque<>();

  /**
   * @param windowMs how long a count is kept, in milliseconds
   */
  MisdirectedHeartbeats(MachineRegistry machines, long windowMs) {
    this.machines = machines;
    this.windowMs = windowMs;
  }

  void record(long nowMs, int heartbeats) {
    counts.addLast(new Count(nowMs, heartbeats));
  }

  /**
   * Discards all counts. To be called after a pause of this process: machines turned to other
   * controllers because of the pause, which says nothing about the present connections.
   */
  void clear() {
    counts.clear();
  }

  /** Discards outdated counts, and records how many machines have been removed by now. */
  void update(long nowMs) {
    counts.removeIf(count -> nowMs - count.atMs() > windowMs);
    removedTotals.addLast(new RemovedTotal(nowMs, machines.removedCount()));
    while (nowMs - removedTotals.getFirst().atMs() > MAX_HEARTBEAT_DELAY_MS) {
      removedTotals.removeFirst();
    }
  }

  /**
   * The number of heartbeats within the window whose machines are looking for another leader.
   *
   * <p>Other controllers can't distinguish these from heartbeats that were delayed in the network,
   * among them heartbeats of machines that have been removed since. The expected number of the
   * latter is subtracted. Otherwise a leader would resign when a whole zone is lost by a network
   * partition and its machines are terminated, as many of their heartbeats arrive late.
   */
  int count() {
    int heartbeats = 0;
    for (Count count : counts) {
      heartbeats += count.heartbeats();
    }
    long removed = machines.removedCount() - removedTotals.getFirst().machines();
    return Math.max(0, heartbeats - (int) (removed * DELAYED_PER_REMOVED_MACHINE));
  }
}
