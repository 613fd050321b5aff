package org.ploverspindle.eventloop;

import java.util.random.RandomGenerator;

/** The delay before a request is retried: a minimum plus a random jitter, in milliseconds. */
public final class RetryDelay {
  private final RandomGenerator random;
  private final int minMs;
  private final int jitterMs;

  /**
   * @param minMs the shortest delay in milliseconds
   * @param jitterMs exclusive upper bound of the jitter in milliseconds; must be above 0, so that
   *     retries are spread
   */
  public RetryDelay(RandomGenerator random, int minMs, int jitterMs) {
    this.random = random;
    this.minMs = minMs;
    this.jitterMs = jitterMs;
  }

  /** Returns the next delay in milliseconds. Draws one random number. */
  public long nextMs() {
    return minMs + random.nextInt(jitterMs);
  }
}
