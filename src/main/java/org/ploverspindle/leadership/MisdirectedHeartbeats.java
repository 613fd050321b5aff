package org.ploverspindle.leadership;

import java.util.ArrayDeque;
import java.util.Deque;
import org.ploverspindle.cluster.MachineRegistry;

/**
 * Counts the heartbeats of this leader's machines that lately reached other controllers: a machine
 * that gets no responses from its leader tries the others.
 */
final class MisdirectedHeartbeats {
  /** Heartbeats that were delayed on the way arrive within this time. */
  private static final long MAX_HEARTBEAT_DELAY_MS = 60_000;

  /** Delayed heartbeats to be expected for each machine that was removed within that time. */
  private static final double DELAYED_PER_REMOVED_MACHINE = 0.25;

  /** What another controller counted in one second. */
  private record Count(long atMs, int heartbeats) {}

  /** How many machines had been removed in the term by then. */
  private record RemovedTotal(long atMs, long machines) {}

  private final MachineRegistry machines;
  private final long windowMs;
  private final Deque<Count> counts = new ArrayDeque<>();
  private final Deque<RemovedTotal> removedTotals = new ArrayDeque<>();

  /**
   * @param windowMs for how long a count is kept
   */
  MisdirectedHeartbeats(MachineRegistry machines, long windowMs) {
    this.machines = machines;
    this.windowMs = windowMs;
  }

  void record(long nowMs, int heartbeats) {
    counts.addLast(new Count(nowMs, heartbeats));
  }

  /** Forgets all counts: what came while this process was paused says nothing about it. */
  void clear() {
    counts.clear();
  }

  /** Drops what is outdated, and notes how many machines have been removed by now. */
  void update(long nowMs) {
    counts.removeIf(count -> nowMs - count.atMs() > windowMs);
    removedTotals.addLast(new RemovedTotal(nowMs, machines.removedCount()));
    while (nowMs - removedTotals.getFirst().atMs() > MAX_HEARTBEAT_DELAY_MS) {
      removedTotals.removeFirst();
    }
  }

  /**
   * Heartbeats within the window that show a machine looking for another leader.
   *
   * <p>Other controllers can't tell these from heartbeats that were delayed on the way, also those
   * of machines that have been removed since. Without the allowance for them a leader would resign
   * when a whole zone of machines, cut off and then terminated, leaves many late heartbeats behind.
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
