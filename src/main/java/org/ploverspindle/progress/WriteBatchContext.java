package org.ploverspindle.progress;

import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Term;

/** The inputs from which a transaction is planned. */
record WriteBatchContext(
    Scheduler scheduler,
    Term term,
    WriteLimits limits,
    ProgressEncoder encoder,
    ProgressState state) {

  PendingProgress pending() {
    return state.pending();
  }

  ProgressLogSlots slots() {
    return state.slots();
  }

  ShardSnapshots snapshots() {
    return state.snapshots();
  }

  /** Whether the shard's snapshot is known not to fit into a value. */
  boolean isTooLarge(TaskShard shard) {
    return snapshots().isTooLarge(shard, limits.maxValueBytes(), scheduler.nowMs());
  }
}
