package org.ploverspindle.leadership;

import java.util.OptionalLong;

/**
 * Keeps this controller from being a candidate for some time after it resigned, so that another one
 * is elected. The time grows with repeated resignations. A leader that no machine reaches can still
 * renew its lease in the state service: if it were elected again at once, all worker leases would
 * expire.
 */
final class ResignationBackoff {
  private static final long FIRST_BACKOFF_MS = 12_000;
  private static final int MAX_DOUBLINGS = 2;

  /** After this time without a resignation the next backoff has the first length again. */
  private static final long RESET_AFTER_MS = 120_000;

  /**
   * The backoff is ignored when there has been no leader for this long: a leader that few machines
   * reach is better than none.
   */
  private static final long MAX_VACANCY_MS = 2_500;

  private OptionalLong lastResignationMs = OptionalLong.empty();
  private OptionalLong untilMs = OptionalLong.empty();
  private int repeatedResignations;
  private long vacantSinceMs;

  /** Records that the leader key was removed, so that there is no leader. */
  void leadershipVacant(long nowMs) {
    vacantSinceMs = nowMs;
  }

  /** Begins the backoff of this controller, which resigns now. */
  void resigned(long nowMs) {
    boolean isRepeated =
        lastResignationMs.isPresent() && nowMs - lastResignationMs.getAsLong() <= RESET_AFTER_MS;
    repeatedResignations = isRepeated ? repeatedResignations + 1 : 0;
    lastResignationMs = OptionalLong.of(nowMs);
    vacantSinceMs = nowMs;
    untilMs =
        OptionalLong.of(
            nowMs + (FIRST_BACKOFF_MS << Math.min(MAX_DOUBLINGS, repeatedResignations)));
  }

  /** Whether this controller must not become a candidate now. */
  boolean isActive(long nowMs) {
    return untilMs.isPresent()
        && nowMs < untilMs.getAsLong()
        && nowMs - vacantSinceMs < MAX_VACANCY_MS;
  }
}
