package org.ploverspindle.eventloop;

import java.util.random.RandomGenerator;

/** How long to wait before a request is repeated: a least delay plus a random jitter. */
public final class RetryDelay {
  private final RandomGenerator random;
  private final int minMs;
  private final int jitterMs;

  /**
   * @param jitterMs exclusive bound of the jitter, above 0, so that repeats are spread
   */
  public RetryDelay(RandomGenerator random, int minMs, int jitterMs) {
    this.random = random;
    this.minMs = minMs;
    this.jitterMs = jitterMs;
  }

  /** The next delay in milliseconds; draws one random number. */
  public long nextMs() {
    return minMs + random.nextInt(jitterMs);
  }
}
