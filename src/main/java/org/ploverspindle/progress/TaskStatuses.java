package org.ploverspindle.progress;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Placement;

/**
 * What a transaction says of some tasks of a job, for when it is known to be durable.
 *
 * @param done those of the tasks that it says to be done
 * @param placements those that it says to be on machines
 */
record TaskStatuses(Job job, BitSet tasks, BitSet done, List<Placement> placements) {
  /** How these tasks are now. */
  static TaskStatuses of(Job job, BitSet tasks) {
    BitSet done = job.completedTasks().toBitSet();
    done.and(tasks);
    List<Placement> placements = new ArrayList<>();
    for (int t = tasks.nextSetBit(0); t >= 0; t = tasks.nextSetBit(t + 1)) {
      Placement p = job.activePlacement(t);
      if (p != null) {
        placements.add(p);
      }
    }
    return new TaskStatuses(job, tasks, done, placements);
  }
}
