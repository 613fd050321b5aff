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
    ShardSnapshots checkpoints) {
  /** Does its checkpoint not fit into a value, as far as is known? */
  boolean isLarge(TaskShard c) {
    return checkpoints.isLarge(c, limits.valueBytes(), scheduler.nowMs());
  }
}
