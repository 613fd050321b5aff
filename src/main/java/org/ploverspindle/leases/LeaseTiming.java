package org.ploverspindle.leases;

/**
 * The time to live of a lease of the state service, and how long its holder may rely on it.
 *
 * @param ttlMs the time to live: how long the state service keeps the lease without a renewal, in
 *     milliseconds
 * @param validMs how long the lease is certainly valid on this process's clock, in milliseconds
 *     since the last acknowledged renewal was sent. It is less than {@code ttlMs} by the clock
 *     drift that is allowed for.
 */
public record LeaseTiming(long ttlMs, long validMs) {
  /**
   * A renewal is due when the time to live divided by this number has passed since the last one.
   */
  private static final int RENEWALS_PER_LEASE = 4;

  /**
   * Checks that a lost renewal can be repeated before the lease may expire.
   *
   * @throws IllegalArgumentException if the time to live is too short for that
   */
  public LeaseTiming {
    long minTtlMs = RENEWALS_PER_LEASE * (ttlMs - validMs);
    if (validMs >= ttlMs || ttlMs < minTtlMs) {
      throw new IllegalArgumentException(
          "a lease with a time to live of "
              + ttlMs
              + " ms that is certainly valid for "
              + validMs
              + " ms leaves no time to repeat a lost renewal: its time to live must be "
              + Math.max(minTtlMs, validMs + 1)
              + " ms at least");
    }
  }

  /** Returns the age of the last renewal at which the next renewal is due, in milliseconds. */
  long renewAfterMs() {
    return ttlMs / RENEWALS_PER_LEASE;
  }

  /**
   * Returns the largest age of the last renewal at which a lease is used to acquire a role, in
   * milliseconds.
   */
  long maxAgeToAcquireMs() {
    return validMs / 2;
  }
}
