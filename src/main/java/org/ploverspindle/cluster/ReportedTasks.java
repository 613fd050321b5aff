package org.ploverspindle.cluster;

import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Function;
import org.ploverspindle.model.Resources;

/** What follows from the attempts that a report shows on its machine. */
final class ReportedTasks {
  private final MachineRegistry registry;
  private final Function<String, Optional<Job>> jobs;
  private final Function<String, Optional<HeartbeatHandler.Owner>> owners;
  private final BiPredicate<Job, Integer> durablyCompleted;
  private final HeartbeatHandler.Listener listener;

  ReportedTasks(
      MachineRegistry registry,
      Function<String, Optional<Job>> jobs,
      Function<String, Optional<HeartbeatHandler.Owner>> owners,
      BiPredicate<Job, Integer> durablyCompleted,
      HeartbeatHandler.Listener listener) {
    this.registry = registry;
    this.jobs = jobs;
    this.owners = owners;
    this.durablyCompleted = durablyCompleted;
    this.listener = listener;
  }

  /** An attempt that is placed on the machine. */
  void handlePlaced(HeartbeatContext context, Placement placement, Heartbeat.TaskStatus status) {
    switch (status.phase()) {
      case EXITED -> handleExited(context, placement, status);
      case FETCHING -> handlePresent(context, placement, Placement.Phase.FETCHING);
      case RUNNING -> handlePresent(context, placement, Placement.Phase.RUNNING);
      case CHECKPOINTING -> handlePresent(context, placement, Placement.Phase.CHECKPOINTING);
      default -> throw new IllegalStateException("a phase without a meaning");
    }
  }

  private void handlePresent(HeartbeatContext context, Placement placement, Placement.Phase phase) {
    if (placement.phase() != phase) {
      placement.phase(phase, context.nowMs());
      listener.changed(placement);
    }
    if (placement.job().isTerminal()) {
      context.addCommand(stop(placement, 0));
    } else if (placement.stopping()
        && (phase != Placement.Phase.CHECKPOINTING || placement.gracePeriodS() == 0)) {
      // A task that saves is told again only to make it end: repeating the order is not needed.
      context.addCommand(stop(placement, placement.gracePeriodS()));
    }
  }

  private static WorkerCommand.Stop stop(Placement placement, double gracePeriodS) {
    return new WorkerCommand.Stop(
        placement.job().uid(), placement.task(), placement.attempt(), gracePeriodS);
  }

  private void handleExited(
      HeartbeatContext context, Placement placement, Heartbeat.TaskStatus status) {
    registry.removePlacement(placement, context.nowMs());
    if (status.exitReason() == Heartbeat.ExitReason.DONE) {
      context.machine().failures().recordCompletion(placement.runningSinceMs());
      // Forgotten only once the completion is durable: until then the worker is its only record.
      listener.completed(placement, context.nowMs());
      return;
    }
    if (status.exitReason() == Heartbeat.ExitReason.ERROR) {
      context.machine().failures().recordFailure(status.uid(), context.nowMs());
    }
    context.addCommand(new WorkerCommand.Forget(status.uid(), status.task(), status.attempt()));
    listener.ended(placement, status.exitReason(), status.checkpointed(), context.nowMs());
  }

  /** An attempt that is not placed there: it is stopped, or forgotten once its result is safe. */
  void handleUnplaced(HeartbeatContext context, Heartbeat.TaskStatus status) {
    Optional<Job> job = jobs.apply(status.uid());
    if (status.phase() != Heartbeat.Phase.EXITED) {
      addOrphan(context, status, job);
    } else if (mayBeForgotten(status, job)) {
      context.addCommand(new WorkerCommand.Forget(status.uid(), status.task(), status.attempt()));
    }
  }

  /**
   * A completion counts whoever placed it, and until it is durable the worker is its only record.
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
    if (!job.completedTasks().get(status.task())) {
      listener.completedUnrecorded(job, status.task());
    }
    return durablyCompleted.test(job, status.task());
  }

  /** It takes room, and counts for its team, until a report shows it no more. */
  private void addOrphan(HeartbeatContext context, Heartbeat.TaskStatus status, Optional<Job> job) {
    HeartbeatHandler.Owner owner =
        job.map(known -> new HeartbeatHandler.Owner(known.team(), known.perTask()))
            .or(() -> owners.apply(status.uid()))
            .orElse(new HeartbeatHandler.Owner(OrphanedTask.UNKNOWN_TEAM, Resources.NONE));
    registry.addOrphan(
        context.machine(),
        new OrphanedTask(
            status.uid(), status.task(), status.attempt(), owner.team(), owner.resources()));
    context.addCommand(new WorkerCommand.Stop(status.uid(), status.task(), status.attempt(), 0));
  }
}
