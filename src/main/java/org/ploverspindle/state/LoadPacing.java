package org.ploverspindle.state;

import java.util.random.RandomGenerator;
import org.ploverspindle.eventloop.Scheduler;

/**
 * Decides when a load may send its next request. The rate is a share of the state service's request
 * rate limit that holds even while all controllers load at the same time, so a load is not refused
 * because of the other loads. Jitter keeps controllers that started together from sending together.
 */
final class LoadPacing {
  private static final double INITIAL_REQUESTS_PER_S = 20;

  /** Requests that may be sent at once, in seconds of the rate. */
  private static final double BURST_S = 1;

  private static final long FIRST_BACKOFF_MS = 200;
  private static final long MAX_BACKOFF_MS = 2_000;

  /** The number of doublings after which the backoff has reached its maximum. */
  private static final int MAX_DOUBLINGS = 4;

  private static final double MS_PER_S = 1_000;

  private final Scheduler scheduler;
  private final RandomGenerator random;
  private TokenBucket budget;
  private double requestsPerS;
  private int consecutiveFailures;

  LoadPacing(Scheduler scheduler, RandomGenerator random) {
    this.scheduler = scheduler;
    this.random = random;
    setRate(INITIAL_REQUESTS_PER_S);
  }

  /** Sets the average number of requests per second. */
  void setRate(double newRequestsPerS) {
    requestsPerS = newRequestsPerS;
    budget = new TokenBucket(scheduler, newRequestsPerS, Math.max(1, newRequestsPerS * BURST_S));
  }

  /** Records that a request got a valid response. */
  void succeeded() {
    consecutiveFailures = 0;
  }

  /** Records that a request was refused or not answered. */
  void failed() {
    consecutiveFailures++;
  }

  /**
   * Reserves a request in the budget.
   *
   * @return the time to wait before the request is sent, in milliseconds; it includes the backoff
   *     after failed requests
   */
  long reserveRequest() {
    budget.take(1);
    double missing = -budget.available();
    long waitMs = missing <= 0 ? 0 : withJitter(Math.ceil(missing / requestsPerS * MS_PER_S));
    return Math.max(waitMs, backoffMs());
  }

  /** Returns the wait extended by up to half an average interval between requests. */
  private long withJitter(double waitMs) {
    double halfIntervalMs = MS_PER_S / requestsPerS / 2;
    return Math.round(waitMs + random.nextDouble() * halfIntervalMs);
  }

  private long backoffMs() {
    if (consecutiveFailures == 0) {
      return 0;
    }
    int doublings = Math.min(MAX_DOUBLINGS, consecutiveFailures - 1);
    long longestMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << doublings);
    return longestMs / 2 + random.nextLong(longestMs / 2 + 1);
  }
}
