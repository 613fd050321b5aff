package org.ploverspindle.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Checks for how long a controller is no candidate after it resigned. Guards against the immediate
 * re-election of a leader that no machine reaches, and against a cluster without a leader.
 */
class ResignationBackoffTest {
  private final ResignationBackoff backoff = new ResignationBackoff();

  /** The length of the backoff after a resignation in ms, while another controller leads. */
  private long backoffMs(long resignedMs) {
    backoff.resigned(resignedMs);
    long nowMs = resignedMs;
    while (isActiveWhileAnotherLeads(nowMs)) {
      nowMs += 100;
    }
    return nowMs - resignedMs;
  }

  private boolean isActiveWhileAnotherLeads(long nowMs) {
    backoff.leadershipVacant(nowMs);
    return backoff.isActive(nowMs);
  }

  @Test
  void controllerThatNeverResignedHasNoBackoff() {
    assertFalse(backoff.isActive(0));
  }

  @Test
  void repeatedResignationsDoubleTheBackoffTwiceAndTimeWithoutAnyResetsIt() {
    assertEquals(12_000, backoffMs(1_000));
    assertEquals(24_000, backoffMs(61_000));
    assertEquals(48_000, backoffMs(121_000));
    assertEquals(48_000, backoffMs(241_000));
    assertEquals(12_000, backoffMs(361_001));
  }

  @Test
  void vacancyOfTwoAndAHalfSecondsEndsTheBackoff() {
    backoff.resigned(1_000);
    assertTrue(backoff.isActive(3_499));
    assertFalse(backoff.isActive(3_500));
    backoff.leadershipVacant(6_000);
    assertTrue(backoff.isActive(8_499), "another controller led until 6 s");
    assertFalse(backoff.isActive(8_500));
  }
}
