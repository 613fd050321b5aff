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
    BitSet completed = job.completedTasks().toBitSet();
    completed.and(tasks);
    List<Placement> placements = new ArrayList<>();
    for (int task = tasks.nextSetBit(0); task >= 0; task = tasks.nextSetBit(task + 1)) {
      Placement placement = job.activePlacement(task);
      if (placement != null) {
        placements.add(placement);
      }
    }
    return new TaskStatuses(job, tasks, completed, placements);
  }
}
