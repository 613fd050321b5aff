package org.ploverspindle.leadership;

import java.util.OptionalLong;

/**
 * Lets other controllers go first after a resignation, longer after each one. A leader that no
 * machine reaches renews its key as well as any other: if it were elected again at once, every
 * worker lease would expire meanwhile.
 */
final class ResignationBackoff {
  private static final long FIRST_BACKOFF_MS = 12_000;
  private static final int MAX_DOUBLINGS = 2;

  /** After so long without a resignation the backoff starts from its first length again. */
  private static final long RESET_AFTER_MS = 120_000;

  /** Where nobody leads for so long, a leader that is hard to reach is better than none. */
  private static final long MAX_VACANCY_MS = 2_500;

  private OptionalLong lastResignationMs = OptionalLong.empty();
  private OptionalLong untilMs = OptionalLong.empty();
  private int repeats;
  private long vacantSinceMs;

  /** The leader key was removed. */
  void leadershipVacant(long nowMs) {
    vacantSinceMs = nowMs;
  }

  /** This controller resigns now. */
  void resigned(long nowMs) {
    boolean isRepeated =
        lastResignationMs.isPresent() && nowMs - lastResignationMs.getAsLong() <= RESET_AFTER_MS;
    repeats = isRepeated ? repeats + 1 : 0;
    lastResignationMs = OptionalLong.of(nowMs);
    vacantSinceMs = nowMs;
    untilMs = OptionalLong.of(nowMs + (FIRST_BACKOFF_MS << Math.min(MAX_DOUBLINGS, repeats)));
  }

  /** Must this controller leave leadership to others for now? */
  boolean isActive(long nowMs) {
    return untilMs.isPresent()
        && nowMs < untilMs.getAsLong()
        && nowMs - vacantSinceMs < MAX_VACANCY_MS;
  }
}
