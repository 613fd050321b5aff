package org.ploverspindle.cluster;

import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * The states of a job's tasks: pending, actively placed, or completed. Tasks that ended without
 * completing may also be in backoff. A completed task may still have an active placement, until
 * that placement is proven gone.
 */
final class JobTasks {
  private final BitSet completed = new BitSet();
  private final BitSet pending = new BitSet();
  private final TaskSet completedView = new TaskSet(completed);
  private final TaskSet pendingView = new TaskSet(pending);
  private final Map<Integer, Placement> activePlacements = new HashMap<>();
  private final Collection<Placement> activePlacementsView =
      Collections.unmodifiableCollection(activePlacements.values());

  /** For each task in backoff, the time before which it may not be placed again. */
  private final Map<Integer, Long> notBeforeMs = new HashMap<>();

  private int completedCount;

  JobTasks(int count) {
    pending.set(0, count);
  }

  TaskSet completed() {
    return completedView;
  }

  int completedCount() {
    return completedCount;
  }

  TaskSet pending() {
    return pendingView;
  }

  /**
   * Leaves no task pending. A task that has an active placement now can become pending again when
   * that placement is removed.
   */
  void clearPending() {
    pending.clear();
  }

  /** The placements that are not proven gone: a live, unmodifiable view. */
  Collection<Placement> activePlacements() {
    return activePlacementsView;
  }

  /** The active placement of the task, or null. */
  Placement activePlacement(int task) {
    return activePlacements.get(task);
  }

  void addPlacement(Placement placement) {
    pending.clear(placement.task());
    activePlacements.put(placement.task(), placement);
  }

  /** Removes the placement; returns false if it was not the active placement of its task. */
  boolean removePlacement(Placement placement) {
    return activePlacements.remove(placement.task(), placement);
  }

  void setPendingUnlessCompleted(int task) {
    if (!completed.get(task)) {
      pending.set(task);
    }
  }

  void markCompleted(int task) {
    if (!completed.get(task)) {
      completed.set(task);
      completedCount++;
    }
    pending.clear(task);
    notBeforeMs.remove(task);
  }

  void backOff(int task, long untilMs) {
    notBeforeMs.put(task, untilMs);
  }

  boolean isBackedOff(int task, long nowMs) {
    Long untilMs = notBeforeMs.get(task);
    if (untilMs == null) {
      return false;
    }
    if (untilMs <= nowMs) {
      notBeforeMs.remove(task);
      return false;
    }
    return true;
  }
}
