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
      w.clock.after(
          3_000 + i * 1_000,
          () -> w.submitAndPoll(DayEndCriteriaTest.job(w, "a", Priority.HIGH, 4, 1, 5, 0)));
    }
    return w;
  }

  private static void assertServed(SimulatedCluster w) {
    w.clock.after(135_000, w::faultsEnded);
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
  @EnumSource(SimulatedCluster.RequestKind.class)
  void aLeaderThatTheStateServiceRefusesAloneIsReplacedSoon(SimulatedCluster.RequestKind kind) {
    SimulatedCluster w = busy(3);
    int[] refused = new int[1];
    w.clock.after(
        40_000,
        () -> {
          refused[0] = leaderOf(w);
          w.setRefused(refused[0], kind, true);
        });
    w.clock.after(55_000, () -> assertNotEquals(refused[0], leaderOf(w), "another one leads"));
    long[] terms = new long[1];
    w.clock.after(55_000, () -> terms[0] = w.termCount());
    w.clock.after(100_000, () -> assertEquals(terms[0], w.termCount(), "the lead does not wander"));
    w.clock.after(110_000, () -> w.setRefused(refused[0], kind, false));
    assertServed(w);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void aControllerThatAloneCannotReadSendsItsUsersToTheOthers(int node) {
    SimulatedCluster w = busy(4);
    w.clock.after(40_000, () -> w.setRefused(node, SimulatedCluster.RequestKind.READS, true));
    List<ApiResponse> answers = new ArrayList<>();
    long[] cameMs = new long[1];
    w.clock.after(
        48_000,
        () -> {
          assertFalse(w.isReady(node), "it is taken out of the users' way");
          long askedMs = w.clock.nowMs();
          w.query(
              node,
              "run-000099",
              a -> {
                answers.add(a);
                cameMs[0] = w.clock.nowMs() - askedMs;
              });
        });
    w.clock.after(60_000, () -> w.setRefused(node, SimulatedCluster.RequestKind.READS, false));
    w.clock.after(64_000, () -> assertTrue(w.isReady(node), "and is back"));
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
    w.clock.after(
        30_000,
        () -> {
          int first = leaderOf(w);
          w.crash(first, 70_000);
          w.clock.after(2_800, () -> w.crash((first + 1) % NODES, 300));
        });
    w.clock.after(105_000, () -> w.crash(leaderOf(w), 20_000));
    w.clock.after(50_000, () -> assertTrue(w.leader() >= 0, "two are enough"));
    assertServed(w);
  }

  @Test
  void inAnOutageOfTheStateServiceAllStayReady() {
    SimulatedCluster w = busy(5);
    w.clock.after(40_000, () -> w.state.setOutage(true));
    w.clock.after(
        52_000,
        () -> {
          for (int i = 0; i < NODES; i++) {
            assertTrue(w.isReady(i), "nobody would be any better");
          }
          w.state.setOutage(false);
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
      w.clock.after(t, () -> w.freeze(leader && w.leader() >= 0 ? w.leader() : 1, forMs));
      if (r.nextInt(3) == 0) {
        int uid = r.nextInt(100);
        w.clock.after(
            t + r.nextInt(3_000), () -> w.cancel(String.format(Locale.ROOT, "run-%06d", uid), 0));
      }
    }
    w.clock.after(135_000, w::faultsEnded);
    w.clock.runUntil(400_000);
    w.checker.endOfDay();
    assertEquals(List.of(), w.checker.broken());
    assertTrue(w.checker.jobsDone() >= 100, w.checker.jobsDone() + " done");
  }
}
