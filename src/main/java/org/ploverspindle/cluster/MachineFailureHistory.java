package org.ploverspindle.cluster;

import java.util.HashMap;
import java.util.Map;

/** What failed on a machine since the last task that completed there, and what follows from it. */
final class MachineFailureHistory {
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final Map<String, Integer> failures = new HashMap<>();
  private boolean suspect;
  private long lastFailureMs;
  private long shunnedUntilMs = NEVER_MS;

  void failed(String uid, long nowMs) {
    failures.merge(uid, 1, Integer::sum);
    lastFailureMs = nowMs;
  }

  /** A completion clears the machine only if the task began after the last failure. */
  void completed(long runningSinceMs) {
    if (!failures.isEmpty() && runningSinceMs <= lastFailureMs) {
      return;
    }
    failures.clear();
    suspect = false;
    shunnedUntilMs = NEVER_MS;
  }

  /** By job, how many of its tasks have failed here since the last one that completed. */
  Map<String, Integer> byJob() {
    return failures;
  }

  /** No new tasks for a while. */
  void cordon(long untilMs) {
    shunnedUntilMs = Math.max(shunnedUntilMs, untilMs);
  }

  boolean isCordoned(long nowMs) {
    return nowMs < shunnedUntilMs;
  }

  /** Jobs that run elsewhere fail here: one task at a time is the trial from now on. */
  void suspect() {
    suspect = true;
  }

  boolean isSuspect() {
    return suspect;
  }
}
