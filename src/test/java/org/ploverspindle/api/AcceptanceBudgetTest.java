package org.ploverspindle.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.ploverspindle.api.AcceptanceBudget.Grant;
import org.ploverspindle.state.TokenBucket;

/**
 * Guards against a controller that writes more records of accepted jobs than it may, or none
 * although it may: within its share, beyond it, and after a refused write. The share is three
 * changes and is never refilled, so that the reason for each grant is visible.
 */
class AcceptanceBudgetTest {
  private static final int MAX_RECORDS = 12;
  private static final Grant NONE = new Grant(0, false);
  private static final Grant BEYOND_SHARE = new Grant(1, false);

  private final ManualStateStore clock = new ManualStateStore();
  private final TokenBucket share = new TokenBucket(clock, 0, 3);
  private final AcceptanceBudget budget = new AcceptanceBudget(clock, share);

  private void exhaustShare() {
    budget.recordWrite(budget.grant(MAX_RECORDS), 3);
  }

  @Test
  void grantWithinShareIsBoundedByShareLeftAndMaxRecords() {
    assertEquals(new Grant(2, true), budget.grant(2));
    assertEquals(new Grant(3, true), budget.grant(MAX_RECORDS));
    budget.recordWrite(budget.grant(MAX_RECORDS), 2);
    assertEquals(new Grant(1, true), budget.grant(MAX_RECORDS));
  }

  @Test
  void beyondShareOneRecordPerIntervalIsGrantedAndNotCharged() {
    exhaustShare();
    assertEquals(NONE, budget.grant(MAX_RECORDS), "less than 60 ms after the last write");
    clock.runFor(60);
    assertEquals(BEYOND_SHARE, budget.grant(MAX_RECORDS));
    budget.recordWrite(BEYOND_SHARE, 1);
    assertEquals(0, share.available());
    assertEquals(NONE, budget.grant(MAX_RECORDS));
  }

  @Test
  void nothingBeyondShareIsGrantedForFiveSecondsAfterRefusal() {
    exhaustShare();
    budget.recordRefusal();
    assertEquals(-2, share.available(), "a refusal is charged as two changes");
    clock.runFor(4_999);
    assertEquals(NONE, budget.grant(MAX_RECORDS));
    clock.runFor(1);
    assertEquals(BEYOND_SHARE, budget.grant(MAX_RECORDS));
  }
}
