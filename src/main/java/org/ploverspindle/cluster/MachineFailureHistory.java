package org.ploverspindle.cluster;

import java.util.HashMap;
import java.util.Map;

/** What failed on a machine since the last task that completed there, and what follows from it. */
final class MachineFailureHistory {
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final Map<String, Integer> failuresByJob = new HashMap<>();
  private boolean markSuspect;
  private long lastFailureMs;
  private long cordonedUntilMs = NEVER_MS;

  void recordFailure(String uid, long nowMs) {
    failuresByJob.merge(uid, 1, Integer::sum);
    lastFailureMs = nowMs;
  }

  /** A completion clears the machine only if the task began after the last failure. */
  void recordCompletion(long runningSinceMs) {
    if (!failuresByJob.isEmpty() && runningSinceMs <= lastFailureMs) {
      return;
    }
    failuresByJob.clear();
    markSuspect = false;
    cordonedUntilMs = NEVER_MS;
  }

  /** By job, how many of its tasks have failed here since the last one that completed. */
  Map<String, Integer> byJob() {
    return failuresByJob;
  }

  /** No new tasks for a while. */
  void cordon(long untilMs) {
    cordonedUntilMs = Math.max(cordonedUntilMs, untilMs);
  }

  boolean isCordoned(long nowMs) {
    return nowMs < cordonedUntilMs;
  }

  /** Jobs that run elsewhere fail here: one task at a time is the trial from now on. */
  void markSuspect() {
    markSuspect = true;
  }

  boolean isSuspect() {
    return markSuspect;
  }
}
