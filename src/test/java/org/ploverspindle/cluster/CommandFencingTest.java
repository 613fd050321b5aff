package org.ploverspindle.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against placing tasks on a machine that receives no commands, which would happen if a
 * heartbeat with an outdated fencing token were enough for the machine to count as reachable. Also
 * guards against overlooking a direct launch that the worker may still execute.
 */
class CommandFencingTest {
  private static final long FIRST_TOKEN = 100;

  private final CommandFencing fencing = new CommandFencing(FIRST_TOKEN);

  @Test
  void machineReceivesCommandsOnlyAfterAHeartbeatShowsTheCurrentToken() {
    assertFalse(fencing.receivesCommands());
    fencing.recordReportedToken(FIRST_TOKEN - 1);
    assertFalse(fencing.receivesCommands());
    fencing.recordReportedToken(FIRST_TOKEN);
    assertTrue(fencing.receivesCommands());
  }

  @Test
  void unreachableMachineReceivesCommandsOnlyAfterShowingTheRaisedToken() {
    fencing.recordReportedToken(FIRST_TOKEN);
    fencing.markUnreachable(FIRST_TOKEN + 1, 5_000);
    fencing.recordReportedToken(FIRST_TOKEN);
    assertFalse(fencing.receivesCommands());
    assertEquals(5_000, fencing.unreachableSinceMs());
    fencing.recordReportedToken(FIRST_TOKEN + 1);
    assertTrue(fencing.receivesCommands());
    assertEquals(Machine.NEVER_MS, fencing.unreachableSinceMs());
  }

  @Test
  void repeatedMarkingAsUnreachableRaisesTheTokenOnlyOnce() {
    fencing.markUnreachable(FIRST_TOKEN + 1, 5_000);
    fencing.markUnreachable(FIRST_TOKEN + 2, 6_000);
    assertEquals(FIRST_TOKEN + 1, fencing.fencingToken());
    assertEquals(5_000, fencing.unreachableSinceMs());
  }

  @Test
  void directLaunchIsPendingUntilTheTokenIsRaised() {
    fencing.recordDirectLaunch(7);
    assertTrue(fencing.isDirectLaunchPending(7));
    assertFalse(fencing.isDirectLaunchPending(8), "attempt 8 was never launched directly");
    fencing.raiseFencingToken(FIRST_TOKEN + 1);
    assertFalse(fencing.isDirectLaunchPending(7));
  }
}
