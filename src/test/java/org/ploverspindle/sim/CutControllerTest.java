package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.api.ApiResponse;
import org.ploverspindle.model.Priority;

/**
 * One controller that lacks something that the others have, or that stood still: who leads then.
 */
class CutControllerTest {
  private static final int NODES = 3;

  private static SimulatedCluster busy(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, NODES, 14, List.of("a"));
    for (int i = 0; i < 120; i++) {
      w.clock.at(
          3_000 + i * 1_000,
          () -> w.user(DayEndCriteriaTest.job(w, "a", Priority.HIGH, 4, 1, 5, 0)));
    }
    return w;
  }

  private static void assertServed(SimulatedCluster w) {
    w.clock.at(135_000, w::troublesAreOver);
    w.clock.runUntil(400_000);
    w.checker.endOfDay();
    assertEquals(List.of(), w.checker.broken());
    assertEquals(120, w.checker.jobsDone());
  }

  private static int leaderOf(SimulatedCluster w) {
    assertTrue(w.leader() >= 0, "somebody leads");
    return w.leader();
  }

  @ParameterizedTest
  @EnumSource(SimulatedCluster.Refusal.class)
  void aLeaderThatTheStateServiceRefusesAloneIsReplacedSoon(SimulatedCluster.Refusal kind) {
    SimulatedCluster w = busy(3);
    int[] refused = new int[1];
    w.clock.at(
        40_000,
        () -> {
          refused[0] = leaderOf(w);
          w.refuse(refused[0], kind, true);
        });
    w.clock.at(55_000, () -> assertNotEquals(refused[0], leaderOf(w), "another one leads"));
    long[] terms = new long[1];
    w.clock.at(55_000, () -> terms[0] = w.terms());
    w.clock.at(100_000, () -> assertEquals(terms[0], w.terms(), "the lead does not wander"));
    w.clock.at(110_000, () -> w.refuse(refused[0], kind, false));
    assertServed(w);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void aControllerThatAloneCannotReadSendsItsUsersToTheOthers(int node) {
    SimulatedCluster w = busy(4);
    w.clock.at(40_000, () -> w.refuse(node, SimulatedCluster.Refusal.READS, true));
    List<ApiResponse> answers = new ArrayList<>();
    long[] cameMs = new long[1];
    w.clock.at(
        48_000,
        () -> {
          assertFalse(w.ready(node), "it is taken out of the users' way");
          long askedMs = w.clock.nowMs();
          w.ask(
              node,
              "run-000099",
              a -> {
                answers.add(a);
                cameMs[0] = w.clock.nowMs() - askedMs;
              });
        });
    w.clock.at(60_000, () -> w.refuse(node, SimulatedCluster.Refusal.READS, false));
    w.clock.at(64_000, () -> assertTrue(w.ready(node), "and is back"));
    w.clock.runUntil(50_000);
    assertEquals(503, answers.get(0).status());
    assertTrue(answers.get(0).retryAfterS() > 0);
    assertEquals(0, cameMs[0], "told at once");
    assertServed(w);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void controllersThatAreDownForAMinuteInTurnAlsoInMidElection(long seed) {
    SimulatedCluster w = busy(seed);
    w.clock.at(
        30_000,
        () -> {
          int first = leaderOf(w);
          w.crash(first, 70_000);
          w.clock.at(2_800, () -> w.crash((first + 1) % NODES, 300));
        });
    w.clock.at(105_000, () -> w.crash(leaderOf(w), 20_000));
    w.clock.at(50_000, () -> assertTrue(w.leader() >= 0, "two are enough"));
    assertServed(w);
  }

  @Test
  void inAnOutageOfTheStateServiceAllStayReady() {
    SimulatedCluster w = busy(5);
    w.clock.at(40_000, () -> w.state.outage(true));
    w.clock.at(
        52_000,
        () -> {
          for (int i = 0; i < NODES; i++) {
            assertTrue(w.ready(i), "nobody would be any better");
          }
          w.state.outage(false);
        });
    assertServed(w);
  }

  /** Stands still from a fraction of a second to minutes, leaders and others, also several. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void controllersThatStandStillSayAndDoNothingStale(long seed) {
    SimulatedCluster w = busy(seed);
    Random r = new Random(seed);
    int[] pauses = {200, 900, 2_500, 4_000, 7_000, 15_000, 25_000, 60_000};
    for (int t = 15_000; t < 120_000; t += 4_000 + r.nextInt(9_000)) {
      boolean leader = r.nextBoolean();
      int forMs = Math.min(pauses[r.nextInt(pauses.length)], 130_000 - t);
      w.clock.at(t, () -> w.freeze(leader && w.leader() >= 0 ? w.leader() : 1, forMs));
      if (r.nextInt(3) == 0) {
        int uid = r.nextInt(100);
        w.clock.at(
            t + r.nextInt(3_000), () -> w.cancel(String.format(Locale.ROOT, "run-%06d", uid), 0));
      }
    }
    w.clock.at(135_000, w::troublesAreOver);
    w.clock.runUntil(400_000);
    w.checker.endOfDay();
    assertEquals(List.of(), w.checker.broken());
    assertTrue(w.checker.jobsDone() >= 100, w.checker.jobsDone() + " done");
  }
}
