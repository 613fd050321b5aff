package org.ploverspindle.progress;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Placement;

/**
 * The statuses of some tasks of a job, as written by a transaction.
 *
 * @param tasks the tasks whose statuses these are
 * @param completed the tasks among them that have completed
 * @param placements the active placements of the tasks among them that are on machines
 */
record TaskStatuses(Job job, BitSet tasks, BitSet completed, List<Placement> placements) {
  /** Returns the current statuses of these tasks. */
  static TaskStatuses of(Job job, BitSet tasks) {
    BitSet completed = new BitSet();
    List<Placement> placements = new ArrayList<>();
    for (int task = tasks.nextSetBit(0); task >= 0; task = tasks.nextSetBit(task + 1)) {
      completed.set(task, job.completedTasks().contains(task));
      Placement placement = job.activePlacement(task);
      if (placement != null) {
        placements.add(placement);
      }
    }
    return new TaskStatuses(job, tasks, completed, placements);
  }

  /** Returns these statuses and those of other tasks of the same job. */
  TaskStatuses plus(TaskStatuses other) {
    BitSet allTasks = (BitSet) tasks.clone();
    allTasks.or(other.tasks);
    BitSet allCompleted = (BitSet) completed.clone();
    allCompleted.or(other.completed);
    List<Placement> allPlacements = new ArrayList<>(placements);
    allPlacements.addAll(other.placements);
    return new TaskStatuses(job, allTasks, allCompleted, allPlacements);
  }
}
