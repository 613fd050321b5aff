package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.ploverspindle.model.Priority.HIGH;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What {@code status} tells of the lead, asked of who leads and of another controller. */
class LeadershipStatusTest {
  private static final long LED_MS = 20_000;

  private static String status(SimulatedCluster cluster, int node) {
    String[] text = {""};
    cluster
        .controller(node)
        .status(answer -> text[0] = new String(answer.body(), StandardCharsets.UTF_8));
    return text[0];
  }

  @Test
  void tellsWhoLeadsSinceWhenAndHowRenewalsGo() {
    SimulatedCluster cluster = new SimulatedCluster(3, 3, 4, List.of("a"));
    cluster.clock.runUntil(LED_MS);
    int first = cluster.leader();
    String before = status(cluster, first);
    assertTrue(before.contains("duty=lead holder=n" + first + " epoch=1 held_s=1"), before);
    assertTrue(before.contains(" renewal_ms(n=") && !before.contains(" renewal_ms(n=0 "), before);
    assertTrue(before.contains(" vacant_ms(n=0 "), "nobody led before: " + before);

    cluster.crash(first, 60_000);
    cluster.clock.runUntil(2 * LED_MS);
    int second = cluster.leader();
    String after = status(cluster, second);
    assertTrue(after.contains("duty=lead holder=n" + second + " epoch=1048577 held_s="), after);
    assertTrue(after.contains(" vacant_ms(n=1 "), after);
    int third = 3 - first - second;
    String other = status(cluster, third);
    assertTrue(other.contains("duty=lead holder=n" + second + " epoch=1048577"), other);
    assertFalse(other.contains("held_s="), "it does not lead: " + other);
  }

  @Test
  void tellsOfReturnsAndOfWhatWasRefused() {
    SimulatedCluster cluster = new SimulatedCluster(4, 3, 4, List.of("a"));
    cluster.cloud.stopBootFailures();
    cluster.clock.after(
        3_000, () -> cluster.submitAndPoll(DayEndCriteriaTest.job(cluster, "c", HIGH, 4, 4, 5, 0)));
    cluster.clock.runUntil(10 * LED_MS);
    String text = status(cluster, cluster.leader());
    assertTrue(text.contains(" refused state_writes=0 worker_commands=0"), text);
    assertTrue(text.contains("\nreturns decided="), text);
    assertFalse(text.contains("returns decided=0 "), text);
    assertTrue(text.contains(" recording=0 recorded=0 kept_records=0 "), text);
    assertTrue(text.contains(" gone_ms(n=") && !text.contains(" gone_ms(n=0 "), text);
  }
}
