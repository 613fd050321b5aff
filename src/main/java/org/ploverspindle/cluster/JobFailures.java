package org.ploverspindle.cluster;

import java.util.HashSet;
import java.util.Set;

/**
 * Counts the failures of a job's tasks in this term. Uses them to decide whether the job is known
 * to run and, if it is not, when its next retry may start.
 */
final class JobFailures {
  private static final long FIRST_RETRY_DELAY_MS = 1_000;
  private static final long LONGEST_RETRY_DELAY_MS = 60_000;

  /**
   * Limits the doublings of the retry delay, so that it does not overflow. {@link
   * #LONGEST_RETRY_DELAY_MS} is reached with fewer doublings.
   */
  private static final int MAX_DELAY_DOUBLINGS = 10;

  /**
   * A job is known to run when one of its tasks has run for one and a half times as long as the
   * longest failed run plus this margin.
   */
  private static final long PROVEN_RUN_MARGIN_MS = 2_000;

  private final Set<String> failedHosts = new HashSet<>();
  private long retryNotBeforeMs = Long.MIN_VALUE;
  private long longestFailedRunMs;
  private int retries;
  private int count;

  int count() {
    return count;
  }

  /** Implements {@link Job#recordFailure}. */
  void record(String host, long ranForMs, JobTasks tasks, long nowMs) {
    count++;
    failedHosts.add(host);
    longestFailedRunMs = Math.max(longestFailedRunMs, ranForMs);
    // Tasks that were started together and fail together count as one retry.
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

  /** Implements {@link Job#isKnownToRun}. */
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

  /** Implements {@link Job#isFailingEverywhere}. */
  boolean isFailingEverywhere(JobTasks tasks, long nowMs) {
    return failedHosts.size() >= 2 && !isKnownToRun(tasks, nowMs);
  }
}
