package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.JobKind;

/** Places the pending tasks of one job on machines, within its team's limit. */
final class TaskPlacer {
  private static final int NO_TASK = -1;

  private final MachineRegistry fleet;
  private final TeamUsage teams;
  private final MachineSelector selector;
  private final LongSupplier nextAttempt;
  private final Placer.Listener listener;

  /**
   * @param nextAttempt returns the number of each new attempt, and never returns a number twice
   */
  TaskPlacer(
      MachineRegistry fleet,
      TeamUsage teams,
      MachineSelector selector,
      LongSupplier nextAttempt,
      Placer.Listener listener) {
    this.fleet = fleet;
    this.teams = teams;
    this.selector = selector;
    this.nextAttempt = nextAttempt;
    this.listener = listener;
  }

  /**
   * Places pending tasks of the job: at most {@code maxTasks}, or of a gang either all or none. The
   * listener is informed of each placement.
   *
   * @return the placements, whose intents are to be recorded
   */
  List<Placement> place(Job job, List<Machine> machines, long nowMs, int maxTasks) {
    boolean gang = job.spec().kind() == JobKind.GANG;
    int schedulable = job.schedulableTasks(nowMs);
    int limit = gang ? schedulable : Math.min(maxTasks, schedulable);
    List<Placement> placed = new ArrayList<>();
    int task = nextTask(job, 0, nowMs);
    while (mayPlace(job, task, placed.size(), limit)) {
      Optional<Machine> selected = selector.select(job, machines);
      if (selected.isEmpty()) {
        break;
      }
      // With a task on it, the selected machine has an even lower score than before, so it is
      // filled before the machines are searched again.
      Machine machine = selected.get();
      do {
        placed.add(addPlacement(job, task, machine));
        task = nextTask(job, task + 1, nowMs);
      } while (mayPlace(job, task, placed.size(), limit) && MachineSelector.accepts(machine, job));
    }
    if (gang && !job.pendingTasks().isEmpty()) {
      // A part of the gang would occupy machines while it waits for the rest. Its placements can
      // be removed at once, as nothing has been recorded or sent yet.
      placed.forEach(placement -> fleet.removePlacement(placement, nowMs));
      return List.of();
    }
    placed.forEach(listener::placed);
    return placed;
  }

  private boolean mayPlace(Job job, int task, int placed, int limit) {
    return task != NO_TASK
        && placed < limit
        && teams.tasksWithinLimit(job.team(), job.perTask()) > 0;
  }

  private Placement addPlacement(Job job, int task, Machine machine) {
    Placement placement =
        new Placement(
            job,
            task,
            nextAttempt.getAsLong(),
            machine,
            machine.workerEpoch(),
            Placement.Phase.INTENT);
    fleet.addPlacement(placement);
    return placement;
  }

  /**
   * Returns the first pending task from this index on that is not backed off, or {@link #NO_TASK}.
   */
  private static int nextTask(Job job, int from, long nowMs) {
    int task = job.pendingTasks().next(from);
    while (task != NO_TASK && job.isBackedOff(task, nowMs)) {
      task = job.pendingTasks().next(task + 1);
    }
    return task;
  }
}
