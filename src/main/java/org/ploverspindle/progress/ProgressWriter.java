package org.ploverspindle.progress;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Function;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Term;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SnapshotRecord;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.TokenBucket;

/**
 * Makes the leader's progress durable. It sends one transaction at a time, each with the progress
 * since the last one. Changes are the scarcest resource of the state service, so the statuses of
 * tasks of all jobs are written to shared records of a log with a fixed number of slots. A slot is
 * reused only when its record holds no task's latest status: each status has been repeated in a
 * newer record, is covered by a snapshot of its whole shard, or belongs to a terminal job.
 *
 * <p>Shards of jobs that were accepted under higher limits may no longer fit into a snapshot.
 * Before the slots of their records are due for reuse, as many of their statuses as fit are
 * repeated in new records. A slot whose record can't be replaced yet is skipped.
 *
 * <p>Each transaction is conditional on the mod revision of the leader key, so that writes of a
 * deposed leader fail, and on the mod revision of every key that it replaces. A transaction that
 * was not answered may be executed late. Its contents are therefore written again under higher
 * sequence numbers, and readers use the status with the highest sequence number.
 *
 * <p>Once a job is cancelled, all that still matters of its progress is which of its placements
 * have ended ({@link PlacementClearing}). Ended placements are cleared in a record that is written
 * for other reasons, or in a separate one after {@link PlacementClearing#MAX_WAIT_MS}, and always
 * after all other progress. The state of a cancelled job is kept until no record older than its
 * latest statuses is left.
 */
public final class ProgressWriter {
  /** How long the removal of a terminal job's snapshots waits for a flush for other reasons. */
  private static final long MAX_SNAPSHOT_REMOVAL_WAIT_MS = 1_000;

  /** Receives the outcomes of writes. */
  public interface Listener {
    /** Called when the placements have become durable. Their launch commands may now be sent. */
    void placementsRecorded(List<Placement> placements);

    /** Called when the completion of the job has become durable. */
    void completionRecorded(Job job);

    /** Called when this controller no longer leads: another one does, or none. */
    void deposed(String cause);
  }

  /**
   * The leader's access to the state service.
   *
   * @param changeBudget the budget of changes: one token for each change
   * @param maxChanges the most changes that a transaction may have
   * @param maxValueBytes the size of the largest value that the state service accepts
   */
  public record StateAccess(
      StateStore store,
      Replica replica,
      TokenBucket changeBudget,
      int maxChanges,
      int maxValueBytes) {}

  private final Listener listener;
  private final ProgressState state = new ProgressState();
  private final FlushTimer timer;
  private final PlacementClearing clearing;
  private final ProgressFlusher flusher;

  /**
   * @param machineInfo returns the description of a machine that is recorded with its placements
   */
  public ProgressWriter(
      Scheduler scheduler,
      StateAccess access,
      Term term,
      Function<Machine, SnapshotRecord.MachineInfo> machineInfo,
      Listener listener) {
    this.listener = listener;
    timer = new FlushTimer(scheduler, this::flush);
    clearing = new PlacementClearing(scheduler, state, timer);
    WriteOutcome outcome =
        new WriteOutcome(scheduler, state, clearing, listener, this::completionRecorded);
    WriteReadBack readBack =
        new WriteReadBack(access.replica(), term, state, timer, outcome, listener);
    WriteLimits limits = new WriteLimits(access.maxChanges(), access.maxValueBytes());
    WriteBatchContext context =
        new WriteBatchContext(scheduler, term, limits, new ProgressEncoder(machineInfo), state);
    flusher =
        new ProgressFlusher(
            context, access.store(), access.changeBudget(), timer, clearing, outcome, readBack);
  }

  private void flush() {
    flusher.flush();
  }

  /** Stops writing. Answers that are still outstanding are ignored. */
  public void close() {
    timer.close();
  }

  /** Returns a loader for the records of earlier leaders. */
  ProgressLoader loader() {
    return new ProgressLoader(state);
  }

  /** Whether the completion of the task is known to be durable. */
  public boolean isDurablyCompleted(Job job, int task) {
    return job.finished() || state.durableTasks().isCompleted(job, task);
  }

  /** Called when the progress of the task has changed, or when the job may have become complete. */
  public void taskChanged(Job job, int task) {
    // A job is not complete before its dependencies are, since it might still be aborted with them.
    // As long as an attempt of a completed task may still run, its placement stays recorded, since
    // it uses resources.
    if (job.allTasksCompleted()
        && job.activePlacements().isEmpty()
        && !job.cancelled()
        && !job.blockedOnDependencies()) {
      state.pending().markCompleted(job);
    } else {
      state.pending().markChanged(job, task);
    }
    timer.flushWithin(ProgressFlusher.BATCHING_DELAY_MS);
  }

  /**
   * Called when placements of a cancelled job may have ended. Recorded placements that are no
   * longer active will be cleared, so a placement may be removed from the job only after it is
   * proven that it ended.
   */
  public void cancelledPlacementsEnded(Job job) {
    clearing.placementsEnded(job);
  }

  /**
   * Called when the job is terminal and none of its tasks is on a machine. The progress of a
   * finished job is never read again. For a cancelled job, only the clearing of placements that
   * would otherwise still be read is written.
   */
  public void jobTerminated(Job job) {
    state.pending().removeChangedTasks(job);
    state.durableTasks().removeCompleted(job);
    boolean recordsStillRead = job.isFullyStopped() && !job.quarantined();
    if (recordsStillRead) {
      clearing.placementsEnded(job);
    } else {
      clearing.removeJob(job);
      state.durableTasks().removePlaced(job);
    }
    for (int index = 0; index < job.shardCount(); index++) {
      releaseShard(new TaskShard(job, index), recordsStillRead);
    }
    if (state.pending().hasSnapshotRemovals()) {
      timer.flushWithin(MAX_SNAPSHOT_REMOVAL_WAIT_MS);
    }
  }

  private void releaseShard(TaskShard shard, boolean recordsStillRead) {
    if (!recordsStillRead) {
      state.slots().latestStatuses().releaseUpTo(shard, Long.MAX_VALUE);
    }
    state.snapshots().jobTerminated(shard);
    if (state.snapshots().exists(shard)) {
      state.pending().markSnapshotRemovable(shard);
    }
  }

  private void completionRecorded(Job job) {
    job.markFinished();
    jobTerminated(job);
    listener.completionRecorded(job);
  }

  /**
   * Since when transactions have failed: the time of the first failure after the last committed
   * one, in milliseconds of the scheduler's clock; empty if none has failed since. Conflicts and
   * refusals for the rate of requests don't count as failures.
   */
  public OptionalLong failingSinceMs() {
    return flusher.failingSinceMs();
  }

  /**
   * The number of jobs with progress that is not written yet. A job with several kinds of progress
   * counts once for each kind.
   */
  public int backlogSize() {
    return state.pending().size();
  }
}
