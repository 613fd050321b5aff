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
   * @param completionRecorded called with each job whose completion is durable for the first time
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

  /** The transaction was committed at this revision of the store. */
  void committed(WriteBatch batch, long revision) {
    for (TaskShard shard : batch.snapshots()) {
      state.snapshots().stored(shard, revision);
      state.slots().releaseUpTo(shard, batch.coveredUpTo());
    }
    batch.records().forEach((sequence, shards) -> recordCommitted(sequence, shards, revision));
    List<Placement> placements = new ArrayList<>();
    for (TaskStatuses statuses : batch.statuses()) {
      state.durable().committed(statuses);
      statuses.placements().forEach(p -> p.markRecorded(scheduler.nowMs()));
      placements.addAll(statuses.placements());
    }
    batch.removedSnapshots().forEach(state.snapshots()::removed);
    batch.completedJobs().forEach(this::completed);
    listener.placementsRecorded(placements);
  }

  private void recordCommitted(long sequence, Map<TaskShard, BitSet> shards, long revision) {
    shards.forEach(
        (shard, tasks) -> {
          if (!shard.job().finished()) {
            state.slots().statusRecorded(shard, tasks, sequence);
          }
        });
    state.slots().slotOverwritten(sequence);
    state.slots().recordStored(sequence, revision);
  }

  /** The completion of the job is durable. */
  void completed(Job job) {
    state.pending().completionRecorded(job);
    if (!job.finished()) {
      completionRecorded.accept(job);
    }
  }

  /** The transaction may not have been committed: its contents are pending again. */
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
    batch.removedSnapshots().forEach(state.pending()::markRemovable);
  }
}
