package org.ploverspindle.progress;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Placement;

/**
 * What a transaction says of some tasks of a job, for when it is known to be durable.
 *
 * @param completed those of the tasks that it says to be done
 * @param placements those that it says to be on machines
 */
record TaskStatuses(Job job, BitSet tasks, BitSet completed, List<Placement> placements) {
  /** How these tasks are now. */
  static TaskStatuses of(Job job, BitSet tasks) {
    BitSet done = (BitSet) job.completedTasks().clone();
    done.and(tasks);
    List<Placement> placements = new ArrayList<>();
    for (int task = tasks.nextSetBit(0); task >= 0; task = tasks.nextSetBit(task + 1)) {
      Placement placement = job.activePlacement(task);
      if (placement != null) {
        placements.add(placement);
      }
    }
    return new TaskStatuses(job, tasks, done, placements);
  }
}
