package org.ploverspindle.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.ploverspindle.jobs.Resources;

class MachineTest {
  private final Machine m = new Machine("i-1", 0, 0, true, Resources.offered(16, 0, 64), 0, 1);

  private void report(long nowMs) {
    m.heard(
        new Report("i-1", "", "t", "a", true, 1, nowMs, 1, OptionalDouble.empty(), List.of()),
        nowMs,
        true);
  }

  @Test
  void completionsOfTasksBegunBeforeTheFailureDoNotClearAMachine() {
    m.taskFailed("run-1", 1_000);
    m.taskCompleted(500);
    m.taskFailed("run-2", 2_000);
    assertEquals(2, m.failedJobs());
    m.taskCompleted(2_500);
    assertEquals(0, m.failedJobs());
  }

  @Test
  void aMachineThatFailedIsShunnedForAWhile() {
    report(1_000);
    assertTrue(m.usable(1_000, 5_000));
    m.taskFailed("run-1", 1_000);
    report(5_000);
    assertFalse(m.usable(5_000, 5_000));
    report(11_500);
    assertTrue(m.usable(11_500, 5_000));
  }
}
