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
 * Guards against a cluster without a working leader, and against stale answers, when one controller
 * alone is refused by the state service, crashes or pauses, and when the state service has an
 * outage.
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
    cluster.checker.checkService();
    assertEquals(List.of(), cluster.checker.violations());
    assertEquals(120, cluster.checker.jobsDone());
  }

  private static int leaderOf(SimulatedCluster cluster) {
    assertTrue(cluster.leader() >= 0, "no controller leads");
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
        55_000,
        () ->
            assertNotEquals(
                refused[0],
                leaderOf(cluster),
                "the controller that the state service refuses still leads"));
    long[] terms = new long[1];
    cluster.clock.after(55_000, () -> terms[0] = cluster.termCount());
    cluster.clock.after(
        100_000, () -> assertEquals(terms[0], cluster.termCount(), "the leadership changed again"));
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
          assertFalse(
              cluster.isReady(controller), "a controller that can't read must not be ready");
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
    cluster.clock.after(
        64_000,
        () ->
            assertTrue(
                cluster.isReady(controller),
                "the controller is not ready 4 s after its reads work again"));
    cluster.clock.runUntil(50_000);
    assertEquals(503, answers.get(0).status());
    assertTrue(answers.get(0).retryAfterS() > 0);
    assertEquals(0, latencyMs[0], "latency of the answer 503, in ms");
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
    cluster.clock.after(
        50_000, () -> assertTrue(cluster.leader() >= 0, "two of three controllers elect a leader"));
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
            assertTrue(cluster.isReady(i), "in an outage for all, every controller stays ready");
          }
          cluster.state.setOutage(false);
        });
    assertAllJobsComplete(cluster);
  }

  /**
   * Guards against a controller that the load balancer keeps in use although its event loop is
   * blocked, so that it answers nothing.
   */
  @Test
  void controllerWhoseEventLoopIsBlockedIsNotReady() {
    SimulatedCluster cluster = clusterWithJobs(6);
    cluster.clock.after(40_000, () -> cluster.freeze(1, 20_000));
    cluster.clock.after(41_000, () -> assertTrue(cluster.isReady(1), "not ready after 1 s"));
    cluster.clock.after(52_000, () -> assertFalse(cluster.isReady(1), "ready after 12 s"));
    cluster.clock.after(62_000, () -> assertTrue(cluster.isReady(1), "not ready again"));
    assertAllJobsComplete(cluster);
  }

  /**
   * The leader or controller 1 pauses for 0.2 to 60 s, several times, also both at once, while jobs
   * are cancelled. A paused controller must not act on stale state afterwards.
   */
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
    cluster.checker.checkService();
    assertEquals(List.of(), cluster.checker.violations());
    assertTrue(
        cluster.checker.jobsDone() >= 100,
        cluster.checker.jobsDone() + " jobs done, at least 100 expected");
  }
}
