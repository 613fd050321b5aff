package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.ploverspindle.model.Priority.HIGH;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The leadership part of {@code status}, as answered by the leader and by another controller.
 * Guards against figures that are missing, or that a controller shows of a role that it does not
 * hold.
 */
class LeadershipStatusTest {
  private static final long PHASE_MS = 20_000;

  private static String status(SimulatedCluster cluster, int controller) {
    String[] body = {""};
    cluster
        .controller(controller)
        .status(answer -> body[0] = new String(answer.body(), StandardCharsets.UTF_8));
    return body[0];
  }

  @Test
  void statusShowsTheLeaderItsTermAndItsRenewals() {
    SimulatedCluster cluster = new SimulatedCluster(3, 3, 4, List.of("a"));
    cluster.clock.runUntil(PHASE_MS);
    int first = cluster.leader();
    String before = status(cluster, first);
    assertTrue(before.contains("duty=lead holder=n" + first + " epoch=1 held_s=1"), before);
    assertTrue(before.contains(" renewal_ms(n=") && !before.contains(" renewal_ms(n=0 "), before);
    assertTrue(
        before.contains(" vacant_ms(n=0 "),
        "the first leader saw a time without a leader: " + before);

    cluster.crash(first, 60_000);
    cluster.clock.runUntil(2 * PHASE_MS);
    int second = cluster.leader();
    String after = status(cluster, second);
    assertTrue(after.contains("duty=lead holder=n" + second + " epoch=1048577 held_s="), after);
    assertTrue(after.contains(" vacant_ms(n=1 "), after);
    int third = 3 - first - second;
    String follower = status(cluster, third);
    assertTrue(follower.contains("duty=lead holder=n" + second + " epoch=1048577"), follower);
    assertFalse(
        follower.contains("held_s="), "a controller that does not lead shows held_s: " + follower);
  }

  @Test
  void statusShowsTerminationsAndFencingRejections() {
    SimulatedCluster cluster = new SimulatedCluster(4, 3, 4, List.of("a"));
    cluster.cloud.stopBootFailures();
    cluster.clock.after(
        3_000, () -> cluster.submitAndPoll(DayEndCriteriaTest.job(cluster, "c", HIGH, 4, 4, 5, 0)));
    cluster.clock.runUntil(10 * PHASE_MS);
    String text = status(cluster, cluster.leader());
    assertTrue(text.contains(" refused state_writes=0 worker_commands=0"), text);
    assertTrue(text.contains("\nreturns decided="), text);
    assertFalse(text.contains("returns decided=0 "), text);
    assertTrue(text.contains(" recording=0 recorded=0 kept_records=0 "), text);
    assertTrue(text.contains(" gone_ms(n=") && !text.contains(" gone_ms(n=0 "), text);
  }
}
