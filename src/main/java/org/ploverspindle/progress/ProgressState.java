package org.ploverspindle.progress;

import java.util.Optional;
import org.ploverspindle.cluster.Job;

/** What the writer of progress keeps of all jobs during its term. */
record ProgressState(
    PendingProgress pending,
    ProgressLogSlots slots,
    ShardSnapshots snapshots,
    DurableTasks durable) {

  ProgressState() {
    this(new PendingProgress(), new ProgressLogSlots(), new ShardSnapshots(), new DurableTasks());
  }

  /** A job that has pending or recorded progress. */
  Optional<Job> findJob(String uid) {
    return pending.findJob(uid).or(() -> slots.findJob(uid)).or(() -> durable.findJob(uid));
  }
}
