package org.ploverspindle.cluster;

import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Function;
import org.ploverspindle.model.Resources;

/** What follows from the attempts that a report shows on its machine. */
final class ReportedTasks {
  private static final int NO_TEAM = -1;

  private final MachineRegistry fleet;
  private final Function<String, Optional<Job>> jobs;
  private final Function<String, Optional<HeartbeatHandler.Owner>> owners;
  private final BiPredicate<Job, Integer> durablyDone;
  private final HeartbeatHandler.Listener listener;

  ReportedTasks(
      MachineRegistry fleet,
      Function<String, Optional<Job>> jobs,
      Function<String, Optional<HeartbeatHandler.Owner>> owners,
      BiPredicate<Job, Integer> durablyDone,
      HeartbeatHandler.Listener listener) {
    this.fleet = fleet;
    this.jobs = jobs;
    this.owners = owners;
    this.durablyDone = durablyDone;
    this.listener = listener;
  }

  /** An attempt that is placed on the machine. */
  void handlePlaced(HeartbeatContext reading, Placement placement, Heartbeat.TaskStatus item) {
    switch (item.phase()) {
      case EXITED -> exited(reading, placement, item);
      case FETCHING -> present(reading, placement, Placement.Phase.FETCHING);
      case RUNNING -> present(reading, placement, Placement.Phase.RUNNING);
      case CHECKPOINTING -> present(reading, placement, Placement.Phase.CHECKPOINTING);
      default -> throw new IllegalStateException("a phase without a meaning");
    }
  }

  private void present(HeartbeatContext reading, Placement placement, Placement.Phase phase) {
    if (placement.phase() != phase) {
      placement.phase(phase, reading.nowMs());
      listener.changed(placement);
    }
    if (placement.job().isTerminal()) {
      reading.addCommand(stop(placement, 0));
    } else if (placement.stopping()
        && (phase != Placement.Phase.CHECKPOINTING || placement.gracePeriodS() == 0)) {
      // A task that saves is told again only to make it end: repeating the order is not needed.
      reading.addCommand(stop(placement, placement.gracePeriodS()));
    }
  }

  private static WorkerCommand.Stop stop(Placement placement, double windDownS) {
    return new WorkerCommand.Stop(
        placement.job().uid(), placement.task(), placement.attempt(), windDownS);
  }

  private void exited(HeartbeatContext reading, Placement placement, Heartbeat.TaskStatus item) {
    fleet.removePlacement(placement, reading.nowMs());
    if (item.exitReason() == Heartbeat.ExitReason.DONE) {
      reading.machine().failures().completed(placement.runningSinceMs());
      // Forgotten only once the completion is durable: until then the worker is its only record.
      listener.completed(placement, reading.nowMs());
      return;
    }
    if (item.exitReason() == Heartbeat.ExitReason.ERROR) {
      reading.machine().failures().failed(item.uid(), reading.nowMs());
    }
    reading.addCommand(new WorkerCommand.Forget(item.uid(), item.task(), item.attempt()));
    listener.ended(placement, item.exitReason(), item.checkpointed(), reading.nowMs());
  }

  /** An attempt that is not placed there: it is stopped, or forgotten once its result is safe. */
  void handleUnplaced(HeartbeatContext reading, Heartbeat.TaskStatus item) {
    Optional<Job> job = jobs.apply(item.uid());
    if (item.phase() != Heartbeat.Phase.EXITED) {
      orphan(reading, item, job);
    } else if (mayBeForgotten(item, job)) {
      reading.addCommand(new WorkerCommand.Forget(item.uid(), item.task(), item.attempt()));
    }
  }

  /**
   * A completion counts whoever placed it, and until it is durable the worker is its only record.
   */
  private boolean mayBeForgotten(Heartbeat.TaskStatus item, Optional<Job> known) {
    if (known.isEmpty()
        || known.get().isTerminal()
        || item.exitReason() != Heartbeat.ExitReason.DONE) {
      return true;
    }
    Job job = known.get();
    if (item.task() >= job.spec().tasks()) {
      return true;
    }
    if (!job.completedTasks().get(item.task())) {
      listener.completedUnrecorded(job, item.task());
    }
    return durablyDone.test(job, item.task());
  }

  /** It takes room, and counts for its team, until a report shows it no more. */
  private void orphan(HeartbeatContext reading, Heartbeat.TaskStatus item, Optional<Job> job) {
    HeartbeatHandler.Owner owner =
        job.map(known -> new HeartbeatHandler.Owner(known.team(), known.perTask()))
            .or(() -> owners.apply(item.uid()))
            .orElse(new HeartbeatHandler.Owner(NO_TEAM, Resources.NONE));
    fleet.addOrphan(
        reading.machine(),
        new Machine.OrphanedTask(
            item.uid(), item.task(), item.attempt(), owner.team(), owner.resources(), false));
    reading.addCommand(new WorkerCommand.Stop(item.uid(), item.task(), item.attempt(), 0));
  }
}
