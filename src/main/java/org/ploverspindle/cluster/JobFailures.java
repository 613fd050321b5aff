package org.ploverspindle.cluster;

import java.util.HashSet;
import java.util.Set;

/**
 * The failures of a job's tasks, and what follows from them: whether the job is known to run, and
 * until when a job that is not has to wait before its next try.
 */
final class JobFailures {
  private static final long FIRST_RETRY_DELAY_MS = 1_000;
  private static final long LONGEST_RETRY_DELAY_MS = 60_000;

  /**
   * Keeps the doubling of the retry delay from overflowing; the longest delay is reached before.
   */
  private static final int MAX_DELAY_DOUBLINGS = 10;

  /** A task that has run for half as long again as failed ones, and this much longer, runs. */
  private static final long PROVEN_RUN_MARGIN_MS = 2_000;

  private final Set<String> failedHosts = new HashSet<>();
  private long retryNotBeforeMs = Long.MIN_VALUE;
  private long longestFailedRunMs;
  private int retries;
  private int count;

  int count() {
    return count;
  }

  /** See {@link Job#recordFailure}. */
  void record(String host, long ranForMs, JobTasks tasks, long nowMs) {
    count++;
    failedHosts.add(host);
    longestFailedRunMs = Math.max(longestFailedRunMs, ranForMs);
    // Tasks that were started together and fail together count as one try.
    if (!isKnownToRun(tasks, nowMs) && !isRetryDelayed(nowMs)) {
      retryNotBeforeMs = nowMs + nextRetryDelayMs();
      retries++;
    }
  }

  private long nextRetryDelayMs() {
    return Math.min(
        LONGEST_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS << Math.min(MAX_DELAY_DOUBLINGS, retries));
  }

  boolean hasFailedOn(String host) {
    return failedHosts.contains(host);
  }

  boolean isRetryDelayed(long nowMs) {
    return retryNotBeforeMs > nowMs;
  }

  /** See {@link Job#isKnownToRun}. */
  boolean isKnownToRun(JobTasks tasks, long nowMs) {
    if (count == 0 || tasks.completedCount() > 0) {
      return true;
    }
    long provenRunMs = longestFailedRunMs + longestFailedRunMs / 2 + PROVEN_RUN_MARGIN_MS;
    for (Placement placement : tasks.activePlacements()) {
      if (placement.runningSinceMs() >= 0
          && nowMs - placement.runningSinceMs() >= provenRunMs
          && !failedHosts.contains(placement.machine().host())) {
        return true;
      }
    }
    return false;
  }

  /** See {@link Job#isFailingEverywhere}. */
  boolean isFailingEverywhere(JobTasks tasks, long nowMs) {
    return failedHosts.size() >= 2 && !isKnownToRun(tasks, nowMs);
  }
}
