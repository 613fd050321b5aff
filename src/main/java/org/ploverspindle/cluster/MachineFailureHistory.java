package org.ploverspindle.cluster;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * The task failures on one machine since the last completion there, and what follows from them: the
 * machine is cordoned for a time, or suspect.
 */
final class MachineFailureHistory {
  /** Cordoned until a time that is always past. */
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

  /** A completion clears the machine only if the task began to run after the last failure. */
  void recordCompletion(long runningSinceMs) {
    if (!failuresByJob.isEmpty() && runningSinceMs <= lastFailureMs) {
      return;
    }
    failuresByJob.clear();
    suspect = false;
    cordonedUntilMs = NOT_CORDONED_MS;
  }

  /** By job uid, the failed tasks since the last completion: a live, unmodifiable view. */
  Map<String, Integer> byJob() {
    return failuresByJobView;
  }

  /** No new tasks until this time, or a later one that was given before. */
  void cordon(long untilMs) {
    cordonedUntilMs = Math.max(cordonedUntilMs, untilMs);
  }

  boolean isCordoned(long nowMs) {
    return nowMs < cordonedUntilMs;
  }

  /** Jobs that are known to run fail here: from now on the machine is tried with single tasks. */
  void markSuspect() {
    suspect = true;
  }

  boolean isSuspect() {
    return suspect;
  }
}
