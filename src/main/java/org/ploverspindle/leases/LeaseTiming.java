package org.ploverspindle.leases;

/**
 * For how long a lease of the state service is valid.
 *
 * @param ttlMs time to live: how long the state service keeps the lease without a renewal
 * @param validMs how long the lease is certainly valid by this process's clock, counted from the
 *     sending of the last renewal that was answered: less than {@code ttlMs} by the drift of clocks
 */
public record LeaseTiming(long ttlMs, long validMs) {
  /** A renewal is sent when the lease is older than this part of its time to live. */
  private static final int RENEWALS_PER_LEASE = 4;

  /**
   * Checks that a lost renewal can be repeated before the lease expires.
   *
   * @throws IllegalArgumentException if it can't
   */
  public LeaseTiming {
    long minTtlMs = RENEWALS_PER_LEASE * (ttlMs - validMs);
    if (validMs >= ttlMs || ttlMs < minTtlMs) {
      throw new IllegalArgumentException(
          "a lease of "
              + ttlMs
              + " ms, of which "
              + validMs
              + " ms are sure, allows no renewals: it must be above the sure time and "
              + Math.max(minTtlMs, validMs + 1)
              + " ms at least");
    }
  }

  long renewAfterMs() {
    return ttlMs / RENEWALS_PER_LEASE;
  }

  /** A lease that was not renewed for longer is not used for acquiring a role. */
  long maxAgeToAcquireMs() {
    return validMs / 2;
  }
}
