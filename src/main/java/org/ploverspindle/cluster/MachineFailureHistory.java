package org.ploverspindle.cluster;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * The task failures on one machine since the last completion that cleared it, and whether the
 * machine is cordoned or suspect because of them.
 */
final class MachineFailureHistory {
  /** Value of {@code cordonedUntilMs} for a machine that is not cordoned: it is always past. */
  private static final long NOT_CORDONED_MS = Long.MIN_VALUE;

  private final Map<String, Integer> failuresByJob = new HashMap<>();
  private final Map<String, Integer> failuresByJobView = Collections.unmodifiableMap(failuresByJob);
  private boolean suspect;
  private long lastFailureMs;
  private long cordonedUntilMs = NOT_CORDONED_MS;

  void recordFailure(String uid, long nowMs) {
    failuresByJob.merge(uid, 1, Integer::sum);
    lastFailureMs = nowMs;
  }

  /**
   * Records the completion of a task. It clears the history only if the task began to run after the
   * last failure.
   */
  void recordCompletion(long runningSinceMs) {
    if (!failuresByJob.isEmpty() && runningSinceMs <= lastFailureMs) {
      return;
    }
    failuresByJob.clear();
    suspect = false;
    cordonedUntilMs = NOT_CORDONED_MS;
  }

  /**
   * The number of failures since the last completion that cleared the history, by job UID: a live,
   * unmodifiable view.
   */
  Map<String, Integer> byJob() {
    return failuresByJobView;
  }

  /** Keeps new tasks off the machine until this time, or until a later time that was set before. */
  void cordon(long untilMs) {
    cordonedUntilMs = Math.max(cordonedUntilMs, untilMs);
  }

  boolean isCordoned(long nowMs) {
    return nowMs < cordonedUntilMs;
  }

  /**
   * Records that jobs that are known to run have failed on the machine. From now on it gets one
   * task at a time.
   */
  void markSuspect() {
    suspect = true;
  }

  boolean isSuspect() {
    return suspect;
  }
}
