package org.ploverspindle.leases;

/**
 * For how long a lease lives.
 *
 * @param ttlMs how long the state service keeps it when it is not renewed
 * @param validMs how long it certainly lives by this process's clock, from the sending of the last
 *     renewal that was answered: less than {@code ttlMs} by what clocks drift apart
 */
public record LeaseTiming(long ttlMs, long validMs) {
  /** A renewal goes out when this part of the lease has passed. */
  private static final int RENEWALS_PER_LEASE = 4;

  /** Checks that a renewal that is lost can be repeated before the lease is over. */
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

  /** Beyond this age a lease that was not renewed is not used for taking a duty. */
  long freshMs() {
    return validMs / 2;
  }
}
