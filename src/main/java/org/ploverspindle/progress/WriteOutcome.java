package org.ploverspindle.progress;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.eventloop.Scheduler;

/** Applies the outcome of a transaction to the writer's state. */
final class WriteOutcome {
  private final Scheduler scheduler;
  private final ProgressState state;
  private final PlacementClearing clearing;
  private final ProgressWriter.Listener listener;
  private final Consumer<Job> completionRecorded;

  /**
   * @param completionRecorded called once for each job, when its completion is known to be durable
   */
  WriteOutcome(
      Scheduler scheduler,
      ProgressState state,
      PlacementClearing clearing,
      ProgressWriter.Listener listener,
      Consumer<Job> completionRecorded) {
    this.scheduler = scheduler;
    this.state = state;
    this.clearing = clearing;
    this.listener = listener;
    this.completionRecorded = completionRecorded;
  }

  /** Called when the transaction was committed at this revision of the state service. */
  void committed(WriteBatch batch, long revision) {
    for (TaskShard shard : batch.snapshots()) {
      state.snapshots().setModRevision(shard, revision);
      state.slots().latestStatuses().releaseUpTo(shard, batch.lastCoveredSequence());
    }
    batch.records().forEach((sequence, tasks) -> recordCommitted(sequence, tasks, revision));
    List<Placement> placements = new ArrayList<>();
    for (TaskStatuses statuses : batch.statuses()) {
      state.durableTasks().markCommitted(statuses);
      statuses.placements().forEach(p -> p.markRecorded(scheduler.nowMs()));
      placements.addAll(statuses.placements());
    }
    batch.removedSnapshots().forEach(state.snapshots()::markRemoved);
    batch.completedJobs().forEach(this::completionDurable);
    listener.placementsRecorded(placements);
  }

  private void recordCommitted(long sequence, Map<Job, BitSet> tasksByJob, long revision) {
    tasksByJob.forEach(
        (job, tasks) -> {
          if (!job.finished()) {
            state.slots().latestStatuses().statusRecorded(job, tasks, sequence);
          }
        });
    state.slots().slotOverwritten(sequence);
    state.slots().markStored(sequence, revision);
  }

  /** Called when the completion of the job is durable. */
  void completionDurable(Job job) {
    state.pending().removeCompletion(job);
    if (!job.finished()) {
      completionRecorded.accept(job);
    }
  }

  /** Makes the contents of a transaction that may not have been committed pending again. */
  void requeue(WriteBatch batch) {
    for (TaskStatuses statuses : batch.statuses()) {
      Job job = statuses.job();
      if (job.isFullyStopped()) {
        clearing.placementsEnded(job);
      } else if (!job.isTerminal() || !job.activePlacements().isEmpty()) {
        state.pending().markChanged(job, statuses.tasks());
      }
    }
    batch.completedJobs().forEach(state.pending()::markCompleted);
    batch.removedSnapshots().forEach(state.pending()::markSnapshotRemovable);
  }
}
