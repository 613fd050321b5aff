package org.ploverspindle.progress;

import java.util.Optional;
import org.ploverspindle.cluster.Job;

/** The state that the progress writer keeps for all jobs during its term. */
record ProgressState(
    PendingProgress pending,
    ProgressLogSlots slots,
    ShardSnapshots snapshots,
    DurableTasks durableTasks) {

  ProgressState() {
    this(new PendingProgress(), new ProgressLogSlots(), new ShardSnapshots(), new DurableTasks());
  }

  /** Finds the job with this uid if it has pending or recorded progress. */
  Optional<Job> findJob(String uid) {
    return pending
        .findJob(uid)
        .or(() -> slots.latestStatuses().findJob(uid))
        .or(() -> durableTasks.findJob(uid));
  }
}
