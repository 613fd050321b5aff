package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.LinkedHashSet;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.eventloop.Scheduler;

/**
 * Finds placements of cancelled jobs that have ended but are still recorded, and decides when a log
 * record is written to clear them. If they were not cleared, a new leader would count them until it
 * had proven again that they are gone.
 */
final class PlacementClearing {
  /** How long clearings wait for a log record that is written for other reasons. */
  static final long MAX_WAIT_MS = 5_000;

  private final Scheduler scheduler;
  private final ProgressState state;
  private final FlushTimer timer;

  /** Cancelled jobs whose placements may have ended since they were last examined. */
  private final LinkedHashSet<Job> jobsToExamine = new LinkedHashSet<>();

  /** When a record may be written for clearings alone. Only meaningful while some are pending. */
  private long dueMs;

  PlacementClearing(Scheduler scheduler, ProgressState state, FlushTimer timer) {
    this.scheduler = scheduler;
    this.state = state;
    this.timer = timer;
  }

  /** Called when placements of a cancelled job may have ended. */
  void placementsEnded(Job job) {
    if (job.quarantined()) {
      // The job's unreadable records may place any of its tasks on a machine, so none of its
      // records may be overwritten.
      return;
    }
    if (!isPending()) {
      dueMs = scheduler.nowMs() + MAX_WAIT_MS;
    }
    jobsToExamine.add(job);
    scheduleFlush();
  }

  /**
   * Schedules a flush for the time at which a record may be written for clearings alone. Does
   * nothing if no clearings are pending.
   */
  void scheduleFlush() {
    if (isPending()) {
      timer.flushWithin(Math.max(0, dueMs - scheduler.nowMs()));
    }
  }

  private boolean isPending() {
    return state.pending().hasPlacementsToClear() || !jobsToExamine.isEmpty();
  }

  /** Whether a record may be written for clearings alone. */
  boolean isDue() {
    return scheduler.nowMs() >= dueMs;
  }

  /**
   * Adds the tasks whose recorded placement has ended to the pending progress. This is done once
   * per flush and not for each ended placement, since the placements of a large job end one by one.
   */
  void collectEndedPlacements() {
    for (Job job : jobsToExamine) {
      BitSet ended = state.durableTasks().tasksWithStalePlacement(job);
      if (job.isFullyStopped()) {
        ended.or(tasksExposedBySnapshotRemoval(job));
      }
      if (!ended.isEmpty()) {
        state.pending().markPlacementsToClear(job, ended);
      }
    }
    jobsToExamine.clear();
  }

  /**
   * Returns the tasks that must be cleared before the job's snapshots are removed. A snapshot hides
   * older log records of its shard; readers would use these again once the snapshot is removed.
   */
  private BitSet tasksExposedBySnapshotRemoval(Job job) {
    BitSet tasks = new BitSet();
    if (state.slots().isMentioned(job.uid())) {
      for (int index = 0; index < job.shardCount(); index++) {
        TaskShard shard = new TaskShard(job, index);
        if (state.snapshots().exists(shard)) {
          tasks.set(shard.firstTask(), shard.endTask());
        }
      }
    }
    return tasks;
  }

  /** Called when no recorded placement of the job needs to be cleared any more. */
  void removeJob(Job job) {
    jobsToExamine.remove(job);
    state.pending().removePlacementsToClear(job);
  }
}
