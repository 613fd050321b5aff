package org.ploverspindle.leadership;

import java.util.List;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.eventloop.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Ends jobs whose cancellation is recorded, and jobs with an aborted dependency. */
final class JobCancellation {
  private static final Logger LOG = LoggerFactory.getLogger(JobCancellation.class);

  private final Scheduler scheduler;
  private final MachineRegistry machines;
  private final DirectCommandSender commands;
  private final TaskProgress progress;
  private final SchedulingRounds rounds;

  JobCancellation(
      Scheduler scheduler,
      MachineRegistry machines,
      DirectCommandSender commands,
      TaskProgress progress,
      SchedulingRounds rounds) {
    this.scheduler = scheduler;
    this.machines = machines;
    this.commands = commands;
    this.progress = progress;
    this.rounds = rounds;
  }

  /**
   * Removes the placements of the job whose launch has been sent to no worker, and stops the tasks
   * of the others. Has no effect on a job that is cancelled already.
   */
  void cancel(Job job) {
    if (job.cancelled()) {
      return;
    }
    job.markCancelled();
    removeUnsentPlacements(job);
    LOG.info(
        "job cancelled: job={} active_placements={}", job.uid(), job.activePlacements().size());
    commands.stopCancelled(job);
    progress.cleanUp(job);
    rounds.schedule();
  }

  private void removeUnsentPlacements(Job job) {
    long nowMs = scheduler.nowMs();
    for (Placement placement : List.copyOf(job.activePlacements())) {
      if (placement.isNeverSent()) {
        machines.removePlacement(placement, nowMs);
      }
    }
  }
}
