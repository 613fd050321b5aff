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
  private static final int CONTROLLERS = 3;

  private static SimulatedCluster clusterWithJobs(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, CONTROLLERS, 14, List.of("a"));
    for (int i = 0; i < 120; i++) {
      cluster.clock.after(
          3_000 + i * 1_000,
          () ->
              cluster.submitAndPoll(
                  DayEndCriteriaTest.job(cluster, "a", Priority.HIGH, 4, 1, 5, 0)));
    }
    return cluster;
  }

  private static void assertAllJobsComplete(SimulatedCluster cluster) {
    cluster.clock.after(135_000, cluster::faultsEnded);
    cluster.clock.runUntil(400_000);
    cluster.checker.endOfDay();
    assertEquals(List.of(), cluster.checker.broken());
    assertEquals(120, cluster.checker.jobsDone());
  }

  private static int leaderOf(SimulatedCluster cluster) {
    assertTrue(cluster.leader() >= 0, "somebody leads");
    return cluster.leader();
  }

  @ParameterizedTest
  @EnumSource(SimulatedCluster.RequestKind.class)
  void leaderRefusedByStateServiceIsReplacedOnceWithinFifteenSeconds(
      SimulatedCluster.RequestKind kind) {
    SimulatedCluster cluster = clusterWithJobs(3);
    int[] refused = new int[1];
    cluster.clock.after(
        40_000,
        () -> {
          refused[0] = leaderOf(cluster);
          cluster.setRefused(refused[0], kind, true);
        });
    cluster.clock.after(
        55_000, () -> assertNotEquals(refused[0], leaderOf(cluster), "another one leads"));
    long[] terms = new long[1];
    cluster.clock.after(55_000, () -> terms[0] = cluster.termCount());
    cluster.clock.after(
        100_000, () -> assertEquals(terms[0], cluster.termCount(), "the lead does not wander"));
    cluster.clock.after(110_000, () -> cluster.setRefused(refused[0], kind, false));
    assertAllJobsComplete(cluster);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void controllerWhoseReadsAreRefusedIsNotReadyAndAnswers503(int controller) {
    SimulatedCluster cluster = clusterWithJobs(4);
    cluster.clock.after(
        40_000, () -> cluster.setRefused(controller, SimulatedCluster.RequestKind.READS, true));
    List<ApiResponse> answers = new ArrayList<>();
    long[] latencyMs = new long[1];
    cluster.clock.after(
        48_000,
        () -> {
          assertFalse(cluster.isReady(controller), "it is taken out of the users' way");
          long sentMs = cluster.clock.nowMs();
          cluster.query(
              controller,
              "run-000099",
              answer -> {
                answers.add(answer);
                latencyMs[0] = cluster.clock.nowMs() - sentMs;
              });
        });
    cluster.clock.after(
        60_000, () -> cluster.setRefused(controller, SimulatedCluster.RequestKind.READS, false));
    cluster.clock.after(64_000, () -> assertTrue(cluster.isReady(controller), "and is back"));
    cluster.clock.runUntil(50_000);
    assertEquals(503, answers.get(0).status());
    assertTrue(answers.get(0).retryAfterS() > 0);
    assertEquals(0, latencyMs[0], "told at once");
    assertAllJobsComplete(cluster);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void jobsCompleteWhenControllersCrashInTurnAndDuringElection(long seed) {
    SimulatedCluster cluster = clusterWithJobs(seed);
    cluster.clock.after(
        30_000,
        () -> {
          int first = leaderOf(cluster);
          cluster.crash(first, 70_000);
          cluster.clock.after(2_800, () -> cluster.crash((first + 1) % CONTROLLERS, 300));
        });
    cluster.clock.after(105_000, () -> cluster.crash(leaderOf(cluster), 20_000));
    cluster.clock.after(50_000, () -> assertTrue(cluster.leader() >= 0, "two are enough"));
    assertAllJobsComplete(cluster);
  }

  @Test
  void allControllersStayReadyDuringStateServiceOutage() {
    SimulatedCluster cluster = clusterWithJobs(5);
    cluster.clock.after(40_000, () -> cluster.state.setOutage(true));
    cluster.clock.after(
        52_000,
        () -> {
          for (int i = 0; i < CONTROLLERS; i++) {
            assertTrue(cluster.isReady(i), "nobody would be any better");
          }
          cluster.state.setOutage(false);
        });
    assertAllJobsComplete(cluster);
  }

  /** Stands still from a fraction of a second to minutes, leaders and others, also several. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void pausedControllersViolateNoInvariant(long seed) {
    SimulatedCluster cluster = clusterWithJobs(seed);
    Random random = new Random(seed);
    int[] pauses = {200, 900, 2_500, 4_000, 7_000, 15_000, 25_000, 60_000};
    for (int atMs = 15_000; atMs < 120_000; atMs += 4_000 + random.nextInt(9_000)) {
      boolean pauseLeader = random.nextBoolean();
      int durationMs = Math.min(pauses[random.nextInt(pauses.length)], 130_000 - atMs);
      cluster.clock.after(
          atMs,
          () ->
              cluster.freeze(
                  pauseLeader && cluster.leader() >= 0 ? cluster.leader() : 1, durationMs));
      if (random.nextInt(3) == 0) {
        int jobNumber = random.nextInt(100);
        cluster.clock.after(
            atMs + random.nextInt(3_000),
            () -> cluster.cancel(String.format(Locale.ROOT, "run-%06d", jobNumber), 0));
      }
    }
    cluster.clock.after(135_000, cluster::faultsEnded);
    cluster.clock.runUntil(400_000);
    cluster.checker.endOfDay();
    assertEquals(List.of(), cluster.checker.broken());
    assertTrue(cluster.checker.jobsDone() >= 100, cluster.checker.jobsDone() + " done");
  }
}
