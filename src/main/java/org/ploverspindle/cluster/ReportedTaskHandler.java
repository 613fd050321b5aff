package org.ploverspindle.cluster;

import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Function;
import org.ploverspindle.model.Resources;

/** Handles the attempts that a heartbeat lists. */
final class ReportedTaskHandler {
  private final MachineRegistry registry;
  private final Function<String, Optional<Job>> jobs;
  private final Function<String, Optional<HeartbeatHandler.TaskOwner>> owners;
  private final BiPredicate<Job, Integer> isDurablyCompleted;
  private final HeartbeatHandler.Listener listener;

  ReportedTaskHandler(
      MachineRegistry registry,
      Function<String, Optional<Job>> jobs,
      Function<String, Optional<HeartbeatHandler.TaskOwner>> owners,
      BiPredicate<Job, Integer> isDurablyCompleted,
      HeartbeatHandler.Listener listener) {
    this.registry = registry;
    this.jobs = jobs;
    this.owners = owners;
    this.isDurablyCompleted = isDurablyCompleted;
    this.listener = listener;
  }

  /** Handles an attempt for which the machine has a placement. */
  void handlePlaced(HeartbeatContext context, Placement placement, Heartbeat.TaskStatus status) {
    switch (status.phase()) {
      case EXITED -> handleExited(context, placement, status);
      case FETCHING -> handlePresent(context, placement, Placement.Phase.FETCHING);
      case RUNNING -> handlePresent(context, placement, Placement.Phase.RUNNING);
      case CHECKPOINTING -> handlePresent(context, placement, Placement.Phase.CHECKPOINTING);
      default ->
          throw new IllegalStateException(
              "unhandled phase of an attempt in a heartbeat: " + status.phase());
    }
  }

  private void handlePresent(HeartbeatContext context, Placement placement, Placement.Phase phase) {
    if (placement.phase() != phase) {
      placement.updatePhase(phase, context.nowMs());
      listener.phaseChanged(placement);
    }
    if (needsStop(placement, phase)) {
      context.addCommand(placement.stopCommand());
    }
  }

  /**
   * Whether the stop has to be sent. A task that is writing its checkpoint got it before and needs
   * it again only if it has to end at once.
   */
  private static boolean needsStop(Placement placement, Placement.Phase phase) {
    if (placement.job().isTerminal()) {
      return true;
    }
    return placement.isStopping()
        && (phase != Placement.Phase.CHECKPOINTING || placement.gracePeriodS() == 0);
  }

  private void handleExited(
      HeartbeatContext context, Placement placement, Heartbeat.TaskStatus status) {
    registry.removePlacement(placement, context.nowMs());
    MachineFailureHistory failures = context.machine().failures();
    if (status.exitReason() == Heartbeat.ExitReason.DONE) {
      failures.recordCompletion(placement.runningSinceMs());
      // No forget command is sent yet. Until the completion is durable, the worker holds the only
      // record of it.
      listener.completed(placement, context.nowMs());
      return;
    }
    if (status.exitReason() == Heartbeat.ExitReason.ERROR) {
      failures.recordFailure(status.uid(), context.nowMs());
    }
    context.addForget(status);
    listener.ended(placement, status.exitReason(), status.checkpointed(), context.nowMs());
  }

  /**
   * Handles an attempt for which the machine has no placement. A running attempt is stopped; an
   * exited one is forgotten by the worker once that is safe.
   */
  void handleUnplaced(HeartbeatContext context, Heartbeat.TaskStatus status) {
    Optional<Job> job = jobs.apply(status.uid());
    if (status.phase() != Heartbeat.Phase.EXITED) {
      stopOrphan(context, status, job);
    } else if (mayBeForgotten(status, job)) {
      context.addForget(status);
    }
  }

  /**
   * Whether the worker may forget the exited attempt. A completion counts no matter which leader
   * placed the task, and until it is durable the worker holds the only record of it.
   */
  private boolean mayBeForgotten(Heartbeat.TaskStatus status, Optional<Job> known) {
    if (known.isEmpty()
        || known.get().isTerminal()
        || status.exitReason() != Heartbeat.ExitReason.DONE) {
      return true;
    }
    Job job = known.get();
    if (status.task() >= job.spec().tasks()) {
      return true;
    }
    if (!job.completedTasks().contains(status.task())) {
      listener.completedWithoutPlacement(job, status.task());
    }
    return isDurablyCompleted.test(job, status.task());
  }

  /**
   * Stops an attempt without a placement. It counts for its machine and its team as an orphaned
   * task until a heartbeat no longer lists it.
   */
  private void stopOrphan(
      HeartbeatContext context, Heartbeat.TaskStatus status, Optional<Job> job) {
    HeartbeatHandler.TaskOwner owner =
        job.map(known -> new HeartbeatHandler.TaskOwner(known.team(), known.perTask()))
            .or(() -> owners.apply(status.uid()))
            .orElse(new HeartbeatHandler.TaskOwner(OrphanedTask.UNKNOWN_TEAM, Resources.NONE));
    registry.addOrphan(
        context.machine(),
        new OrphanedTask(
            status.uid(), status.task(), status.attempt(), owner.team(), owner.resources()));
    context.addCommand(new WorkerCommand.Stop(status.uid(), status.task(), status.attempt(), 0));
  }
}
