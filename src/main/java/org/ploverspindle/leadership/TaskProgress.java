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
 * Tracks tasks from their placement to their end. Has each change recorded, schedules a round when
 * resources become free, and removes terminal jobs.
 */
final class TaskProgress implements HeartbeatHandler.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(TaskProgress.class);

  /**
   * Delay before a task is placed again that did not start, because its machine lacked the
   * resources or had another attempt of the task.
   */
  private static final long REJECTED_RETRY_DELAY_MS = 1_000;

  /** Delay before a task is placed again that did not start, because its worker lacked the job. */
  private static final long UNKNOWN_TASK_RETRY_DELAY_MS = 4_000;

  private static final double MS_PER_S = 1_000;

  private final Scheduler scheduler;
  private final JobTable jobs;
  private final RuntimeEstimates estimates;
  private final ProgressWriter writer;
  private final TaskFailures failures;
  private final Runnable scheduleRound;

  /**
   * @param scheduleRound schedules a round that places pending tasks, as resources may be free now
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

  /** Has a new placement recorded. Its launch is sent once the record is durable. */
  void placed(Placement placement) {
    LOG.debug(
        "task placed: job={} task={} machine={}",
        placement.job().uid(),
        placement.task(),
        placement.machine().host());
    writer.taskChanged(placement.job(), placement.task());
  }

  /**
   * Handles placements that were removed because their machine was terminated or its worker lease
   * expired, which proves that the tasks are gone.
   */
  void placementsLost(List<Placement> placements) {
    placements.forEach(this::ended);
  }

  /** Removes the job if it is terminal and none of its tasks can be on any machine. */
  void cleanUp(Job job) {
    if (job.cancelled()) {
      writer.cancelledPlacementsEnded(job);
    }
    if (job.isTerminal() && job.activePlacements().isEmpty()) {
      writer.jobTerminated(job);
      jobs.remove(job);
    }
  }

  /** Stops the active attempt of the task, if any, when another attempt of it has completed. */
  static void stopIfDone(Job job, int task) {
    Placement placement = job.activePlacement(task);
    if (placement != null && job.completedTasks().contains(task)) {
      placement.requestStop(0);
    }
  }

  @Override
  public void completed(Placement placement, long nowMs) {
    long runningSinceMs = placement.runningSinceMs();
    if (runningSinceMs >= 0) {
      estimates.recordRuntime(placement.job(), (nowMs - runningSinceMs) / MS_PER_S);
    }
    completedWithoutPlacement(placement.job(), placement.task());
  }

  @Override
  public void completedWithoutPlacement(Job job, int task) {
    if (job.isTerminal()) {
      cleanUp(job);
      return;
    }
    job.markCompleted(task);
    stopIfDone(job, task);
    writer.taskChanged(job, task);
    scheduleRound.run();
  }

  @Override
  public void ended(
      Placement placement, Heartbeat.ExitReason reason, boolean checkpointed, long nowMs) {
    Job job = placement.job();
    if (reason != Heartbeat.ExitReason.NONE) {
      LOG.debug(
          "task ended: job={} task={} machine={} reason={} checkpointed={}",
          job.uid(),
          placement.task(),
          placement.machine().host(),
          reason,
          checkpointed);
    }
    switch (reason) {
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
      writer.taskChanged(placement.job(), placement.task());
    }
    scheduleRound.run();
  }

  /**
   * Logs when a high-priority task begins to run: the time since the job was eligible, since the
   * placement was recorded, and since the launch was sent.
   */
  @Override
  public void phaseChanged(Placement placement) {
    if (!LOG.isDebugEnabled()
        || placement.phase() != Placement.Phase.RUNNING
        || placement.job().priority().compareTo(Priority.HIGH) > 0) {
      return;
    }
    long nowMs = scheduler.nowMs();
    LOG.debug(
        "task running: job={} task={} since_eligible_ms={} since_recorded_ms={} since_sent_ms={}",
        placement.job().uid(),
        placement.task(),
        scheduler.wallMs() - placement.job().eligibleSinceWallMs(),
        nowMs - placement.recordedMs(),
        nowMs - placement.sentMs());
  }
}
