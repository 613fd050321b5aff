package org.ploverspindle.progress;

import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Term;

/** What a transaction is made from. */
record WriteBatchContext(
    Scheduler scheduler,
    Term term,
    WriteLimits limits,
    ProgressEncoder encoder,
    PendingProgress pending,
    ProgressLogSlots slots,
    ShardSnapshots snapshots) {
  /** Does its checkpoint not fit into a value, as far as is known? */
  boolean isTooLarge(TaskShard shard) {
    return snapshots.isTooLarge(shard, limits.valueBytes(), scheduler.nowMs());
  }
}
