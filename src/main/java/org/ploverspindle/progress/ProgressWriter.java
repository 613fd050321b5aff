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
 * Makes the leader's progress durable: one transaction at a time, each with all that happened since
 * the last one. Changes are the scarcest resource of the state service, so the statuses of tasks of
 * all jobs go into shared records of a log with a fixed number of slots. A slot is reused only when
 * its record holds no task's latest status: each status has been repeated in a newer record, is
 * covered by a snapshot of its whole shard, or belongs to a terminal job.
 *
 * <p>Shards of jobs that were accepted under higher limits may no longer fit into a snapshot. Their
 * statuses in old records are repeated in new ones, as many as fit, before the slots are due for
 * reuse; a slot whose record can't be replaced yet is skipped.
 *
 * <p>Each transaction is conditional on the mod revision of the leader key, so that writes of a
 * deposed leader fail, and on that of every key it replaces. An unanswered transaction may be
 * executed late: its contents are written again under higher sequence numbers, and readers take the
 * highest.
 *
 * <p>Of a cancelled job only the ends of its placements still matter ({@link PlacementClearing}).
 * They are cleared in a record that goes out anyway, or in one of their own after {@link
 * PlacementClearing#MAX_WAIT_MS}, and never ahead of anything else. The job itself is kept here
 * until no record older than its latest statuses is left.
 */
public final class ProgressWriter {
  /** Snapshots of terminal jobs are removed with other changes, or after this time. */
  private static final long REMOVAL_WAIT_MS = 1_000;

  /** Receives the outcomes of writes. */
  public interface Listener {
    /** The placements became durable: their launch commands may be sent. */
    void placementsRecorded(List<Placement> placements);

    /** The completion of the job became durable. */
    void completionRecorded(Job job);

    /** Another controller leads, or nobody does. */
    void deposed(String cause);
  }

  /**
   * The leader's access to the state service.
   *
   * @param writes the budget of changes
   * @param maxChanges the most changes that a transaction may hold
   * @param maxValueBytes the largest value that the state service accepts
   */
  public record StateAccess(
      StateStore store, Replica replica, TokenBucket writes, int maxChanges, int maxValueBytes) {}

  private final Listener listener;
  private final ProgressState state = new ProgressState();
  private final FlushTimer timer;
  private final PlacementClearing clearing;
  private final ProgressFlusher flusher;

  /**
   * @param machineInfo what is recorded of a machine beside its placements
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
            context, access.store(), access.writes(), timer, clearing, outcome, readBack);
  }

  private void flush() {
    flusher.flush();
  }

  /** Nothing is written any more, and answers that are still outstanding are ignored. */
  public void close() {
    timer.close();
  }

  /** For the records of earlier leaders. */
  ProgressLoader loader() {
    return new ProgressLoader(state);
  }

  /** Whether the completion of the task is known to be durable. */
  public boolean isDurablyCompleted(Job job, int task) {
    return job.finished() || state.durable().isCompleted(job, task);
  }

  /** The task's progress changed, or the job may be complete. */
  public void taskChanged(Job job, int task) {
    // A job is not complete before its dependencies are, as it might still be aborted with them.
    // And as long as an attempt of a completed task may still run, it is recorded, since it takes
    // resources.
    if (job.allTasksCompleted()
        && job.activePlacements().isEmpty()
        && !job.cancelled()
        && !job.blockedOnDependencies()) {
      state.pending().markCompleted(job);
    } else {
      state.pending().markChanged(job, task);
    }
    timer.flushWithin(ProgressFlusher.GATHER_MS);
  }

  /**
   * Placements of a cancelled job may have ended: those that are recorded are to be cleared. To be
   * called only once it is proven that they ended.
   */
  public void cancelledPlacementsEnded(Job job) {
    clearing.placementsEnded(job);
  }

  /**
   * The job is terminal and none of its tasks is on a machine. Nobody reads the progress of a
   * finished job; of a cancelled one only what would otherwise be read is still written.
   */
  public void jobTerminated(Job job) {
    state.pending().forgetChanges(job);
    state.durable().forgetCompleted(job);
    boolean recordsStillRead = job.isFullyStopped() && !job.quarantined();
    if (recordsStillRead) {
      clearing.placementsEnded(job);
    } else {
      clearing.forget(job);
      state.durable().forgetPlaced(job);
    }
    for (int index = 0; index < job.shardCount(); index++) {
      releaseShard(new TaskShard(job, index), recordsStillRead);
    }
    if (state.pending().hasSnapshotRemovals()) {
      timer.flushWithin(REMOVAL_WAIT_MS);
    }
  }

  private void releaseShard(TaskShard shard, boolean recordsStillRead) {
    if (!recordsStillRead) {
      state.slots().releaseUpTo(shard, Long.MAX_VALUE);
    }
    state.snapshots().jobTerminated(shard);
    if (state.snapshots().exists(shard)) {
      state.pending().markRemovable(shard);
    }
  }

  private void completionRecorded(Job job) {
    job.markFinished();
    jobTerminated(job);
    listener.completionRecorded(job);
  }

  /** Since when no write has been committed although some were sent, or -1 if none failed. */
  public OptionalLong failingSinceMs() {
    return flusher.failingSinceMs();
  }

  /** How many jobs have progress that is not written yet. */
  public int backlog() {
    return state.pending().size();
  }
}
