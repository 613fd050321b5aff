package org.ploverspindle.leadership;

import java.util.List;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Priority;
import org.ploverspindle.placement.RuntimeEstimates;
import org.ploverspindle.progress.ProgressWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes note of what becomes of tasks: has it recorded, has the freed room filled again, and drops
 * jobs that are over.
 */
final class TaskProgress implements HeartbeatHandler.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(TaskProgress.class);

  /** Before a task that its machine had no room for, or was too busy for, is placed again. */
  private static final long REJECTED_RETRY_DELAY_MS = 1_000;

  /** The same for a task that its machine did not know. */
  private static final long UNKNOWN_TASK_RETRY_DELAY_MS = 4_000;

  private static final double MS_PER_S = 1_000;

  private final Scheduler scheduler;
  private final JobTable jobs;
  private final RuntimeEstimates estimates;
  private final ProgressWriter writer;
  private final TaskFailures failures;
  private final Runnable scheduleRound;

  /**
   * @param scheduleRound has waiting tasks placed soon, as there may be room for them now
   */
  TaskProgress(
      Scheduler scheduler,
      JobTable jobs,
      RuntimeEstimates estimates,
      ProgressWriter writer,
      TaskFailures failures,
      Runnable scheduleRound) {
    this.scheduler = scheduler;
    this.jobs = jobs;
    this.estimates = estimates;
    this.writer = writer;
    this.failures = failures;
    this.scheduleRound = scheduleRound;
  }

  /** A task has been given a place: its launch goes out once that is recorded. */
  void placed(Placement placement) {
    LOG.debug(
        "{}/{} goes to {}", placement.job().uid(), placement.task(), placement.machine().host());
    writer.changed(placement.job(), placement.task());
  }

  /** These are proven gone with their machines. */
  void lost(List<Placement> placements) {
    placements.forEach(this::ended);
  }

  /** Drops a job that is over as soon as none of its tasks can be anywhere. */
  void cleanUp(Job job) {
    if (job.cancelled()) {
      writer.cancelledTasksEnded(job);
    }
    if (job.isTerminal() && job.activePlacements().isEmpty()) {
      writer.over(job);
      jobs.remove(job);
    }
  }

  /** Stops an attempt that goes on although its task is done, by a report of another one. */
  static void stopIfDone(Job job, int task) {
    Placement placement = job.activePlacement(task);
    if (placement != null && job.completedTasks().get(task)) {
      placement.stop(0);
    }
  }

  @Override
  public void completed(Placement placement, long nowMs) {
    long runningSinceMs = placement.runningSinceMs();
    if (runningSinceMs >= 0) {
      estimates.observed(placement.job(), (nowMs - runningSinceMs) / MS_PER_S);
    }
    completedUnrecorded(placement.job(), placement.task());
  }

  @Override
  public void completedUnrecorded(Job job, int task) {
    if (job.isTerminal()) {
      cleanUp(job);
      return;
    }
    job.markCompleted(task);
    stopIfDone(job, task);
    writer.changed(job, task);
    scheduleRound.run();
  }

  @Override
  public void ended(Placement placement, Heartbeat.ExitReason cause, boolean saved, long nowMs) {
    Job job = placement.job();
    if (cause != Heartbeat.ExitReason.NONE) {
      LOG.debug(
          "{}/{} ended on {}: {}{}",
          job.uid(),
          placement.task(),
          placement.machine().host(),
          cause,
          saved ? ", saved" : "");
    }
    switch (cause) {
      case ERROR -> failures.handleFailure(placement, nowMs);
      case NO_ROOM, BUSY -> job.backOff(placement.task(), nowMs + REJECTED_RETRY_DELAY_MS);
      case NO_SUCH -> job.backOff(placement.task(), nowMs + UNKNOWN_TASK_RETRY_DELAY_MS);
      default -> {}
    }
    ended(placement);
  }

  private void ended(Placement placement) {
    if (placement.job().isTerminal()) {
      cleanUp(placement.job());
    } else {
      writer.changed(placement.job(), placement.task());
    }
    scheduleRound.run();
  }

  /** For people who ask why a pressing task waited. */
  @Override
  public void changed(Placement placement) {
    if (!LOG.isDebugEnabled()
        || placement.phase() != Placement.Phase.RUNNING
        || placement.job().priority().compareTo(Priority.HIGH) > 0) {
      return;
    }
    long nowMs = scheduler.nowMs();
    LOG.debug(
        "{}/{} runs {} ms after it could first; {} ms after its record, {} ms after its launch",
        placement.job().uid(),
        placement.task(),
        scheduler.wallMs() - placement.job().eligibleSinceWallMs(),
        nowMs - placement.recordedMs(),
        nowMs - placement.sentMs());
  }
}
