package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.LinkedHashSet;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.eventloop.Scheduler;

/**
 * Finds the recorded placements of cancelled jobs that have ended, and when a record has to go out
 * to clear them. Without it a new leader would count these placements until it had proven them gone
 * once more.
 */
final class PlacementClearing {
  /** How long clearings wait for a log record that goes out for other reasons. */
  static final long MAX_WAIT_MS = 5_000;

  private final Scheduler scheduler;
  private final ProgressState state;
  private final FlushTimer timer;

  /** Cancelled jobs of which placements may have ended since the last flush. */
  private final LinkedHashSet<Job> toExamine = new LinkedHashSet<>();

  private long dueMs;

  PlacementClearing(Scheduler scheduler, ProgressState state, FlushTimer timer) {
    this.scheduler = scheduler;
    this.state = state;
    this.timer = timer;
  }

  /** Placements of a cancelled job may have ended. */
  void placementsEnded(Job job) {
    if (job.quarantined()) {
      // Its unreadable records may place any of its tasks: none of its records may be overwritten.
      return;
    }
    if (!isPending()) {
      dueMs = scheduler.nowMs() + MAX_WAIT_MS;
    }
    toExamine.add(job);
    scheduleFlush();
  }

  /** Schedules a flush for the time at which a record has to go out for clearings alone. */
  void scheduleFlush() {
    if (isPending()) {
      timer.flushWithin(Math.max(0, dueMs - scheduler.nowMs()));
    }
  }

  private boolean isPending() {
    return state.pending().hasClearings() || !toExamine.isEmpty();
  }

  /** Whether a record may go out for clearings alone. */
  boolean isDue() {
    return scheduler.nowMs() >= dueMs;
  }

  /**
   * Adds what has to be cleared to the pending progress. Runs once per flush, since the placements
   * of a large job end one by one.
   */
  void examine() {
    for (Job job : toExamine) {
      BitSet ended = state.durable().placedInRecordsOnly(job);
      if (job.isFullyStopped()) {
        ended.or(uncoveredBySnapshotRemoval(job));
      }
      if (!ended.isEmpty()) {
        state.pending().markForClearing(job, ended);
      }
    }
    toExamine.clear();
  }

  /** A snapshot hides older log records, which would count again once it is removed. */
  private BitSet uncoveredBySnapshotRemoval(Job job) {
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

  /** Nothing of the job needs clearing any more. */
  void forget(Job job) {
    toExamine.remove(job);
    state.pending().forgetClearing(job);
  }
}
