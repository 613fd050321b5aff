package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.policy.Policy;

/** What is asked at the end of a day, each under the trouble that would break it. */
class DayEndCriteriaTest {
  private static final int NODES = 3;

  static JobSpec job(
      SimulatedCluster w,
      String jobClass,
      Priority urgency,
      int tasks,
      double cores,
      double s,
      double dueS) {
    return JobSpecFixtures.batch(w.newUid(), jobClass, "blue", urgency, tasks, cores, 0.1, s, dueS);
  }

  private static void assertRulesKept(SimulatedCluster w) {
    w.checker.endOfDay();
    assertEquals(List.of(), w.checker.broken());
    assertEquals(0, w.checker.neverBegun());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void everyJobIsKnownAndRunsAfterAllControllersRestartAtOnce(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, NODES, 14, List.of("a"));
    for (int i = 0; i < 700; i++) {
      w.clock.after(
          3_000 + i * 90, () -> w.submitAndPoll(job(w, "small", Priority.NORMAL, 1, 0.1, 1, 0)));
    }
    for (int i = 0; i < 60; i++) {
      w.clock.after(
          60_000 + i * 60, () -> w.submitAndPoll(job(w, "long", Priority.NORMAL, 10, 0.5, 30, 0)));
    }
    w.clock.after(70_000, () -> IntStream.range(0, NODES).forEach(n -> w.crash(n, 50 + 900 * n)));
    w.clock.after(72_500, w::faultsEnded);
    w.clock.runUntil(300_000);
    assertRulesKept(w);
    assertTrue(w.checker.jobsDone() >= 755, w.checker.jobsDone() + " jobs done");
  }

  @Test
  void theLargestJobBeginsAlthoughSmallOnesCouldAlwaysStillBeInTime() {
    SimulatedCluster w = new SimulatedCluster(4, NODES, 10, List.of("a"));
    w.clock.after(3_000, () -> w.submitAndPoll(job(w, "array", Priority.NORMAL, 60, 4, 20, 15)));
    for (int i = 0; i < 300; i++) {
      w.clock.after(
          3_000 + i * 1_000, () -> w.submitAndPoll(job(w, "array", Priority.NORMAL, 3, 4, 12, 30)));
    }
    w.clock.runUntil(300_000);
    long begun = w.checker.begunMs("run-000000");
    assertTrue(begun >= 0 && begun <= 240_000, "the largest began at " + begun);
    w.clock.runUntil(1_500_000);
    assertRulesKept(w);
    assertEquals(301, w.checker.jobsDone());
  }

  @Test
  void aLowUrgencyBeginsBelowOneThatNeverEnds() {
    SimulatedCluster w = new SimulatedCluster(5, NODES, 2, List.of("a"));
    for (int i = 0; i < 300; i++) {
      w.clock.after(
          3_000 + i * 1_000, () -> w.submitAndPoll(job(w, "urgent", Priority.HIGH, 4, 4, 10, 60)));
    }
    JobSpec[] low = new JobSpec[1];
    w.clock.after(
        10_000,
        () -> {
          low[0] = job(w, "archive", Priority.BEST_EFFORT, 8, 4, 10, 0);
          w.submitAndPoll(low[0]);
        });
    w.clock.runUntil(280_000);
    long begun = w.checker.begunMs(low[0].uid());
    assertTrue(begun >= 0 && begun <= 250_000, "it began at " + begun);
  }

  @Test
  void aMachineThatIsNotReachedDrawsNoWorkAndItsTasksRunElsewhere() {
    SimulatedCluster w = new SimulatedCluster(6, NODES, 14, List.of("a"));
    for (int i = 0; i < 120; i++) {
      w.clock.after(
          3_000 + i * 1_000, () -> w.submitAndPoll(job(w, "a", Priority.NORMAL, 4, 1, 5, 0)));
    }
    List<SimWorker> deaf = new ArrayList<>();
    w.clock.after(
        40_000,
        () -> {
          deaf.addAll(w.cloud.workers().subList(0, 2));
          deaf.forEach(x -> w.network.dropInbound(x.host(), true));
        });
    w.clock.after(70_000, () -> w.network.dropInbound(deaf.get(0).host(), false));
    w.clock.after(72_000, w::faultsEnded);
    w.clock.runUntil(400_000);
    assertRulesKept(w);
    assertEquals(120, w.checker.jobsDone());
    for (SimWorker x : deaf) {
      int lost = w.heartbeatDelivery.undeliveredLaunches(x.host());
      assertTrue(lost <= 16, lost + " launches were lost to " + x.host());
    }
    assertTrue(deaf.get(1).isTerminated(), "a machine that never hears again is returned");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void lateCopiesOfReportsAreNotBelieved(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, NODES, 14, List.of("a"));
    w.network.setDelayedCopyShare(0.5);
    for (int i = 0; i < 100; i++) {
      w.clock.after(
          3_000 + i * 1_200, () -> w.submitAndPoll(job(w, "a", Priority.HIGH, 6, 1, 6, 0)));
    }
    Random r = new Random(seed);
    for (int t = 20_000; t < 120_000; t += 12_000) {
      w.clock.after(t, () -> w.crash(r.nextInt(NODES), 100 + r.nextInt(3_000)));
      w.clock.after(
          t + 5_000,
          () -> {
            List<SimWorker> all = w.cloud.workers();
            if (!all.isEmpty()) {
              w.cloud.fail(all.get(r.nextInt(all.size())).host());
            }
          });
    }
    w.clock.after(130_000, w::faultsEnded);
    w.clock.runUntil(400_000);
    assertRulesKept(w);
    assertEquals(100, w.checker.jobsDone());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void aLeaderThatOnlyItsWorkersReachDoesNotKeepACancelledJobAlive(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, NODES, 14, List.of("a"));
    JobSpec[] spec = new JobSpec[2];
    w.clock.after(
        3_000,
        () -> {
          spec[0] = job(w, "a", Priority.NORMAL, 8, 1, 200, 0);
          spec[1] = job(w, "a", Priority.NORMAL, 8, 1, 60, 0);
          w.submitAndPoll(spec[0]);
          w.submitAndPoll(spec[1]);
        });
    w.clock.after(
        30_000,
        () -> {
          int leader = w.leader();
          assertTrue(leader >= 0 && w.checker.begunMs(spec[0].uid()) >= 0);
          w.network.partition("n" + leader, SimulatedCluster.STATE, true);
          for (int i = 0; i < NODES; i++) {
            w.network.partition("n" + leader, "n" + i, true);
          }
          w.clock.after(500, () -> w.cancel(spec[0].uid(), 0));
          w.clock.after(
              60_000,
              () -> {
                w.network.partition("n" + leader, SimulatedCluster.STATE, false);
                for (int i = 0; i < NODES; i++) {
                  w.network.partition("n" + leader, "n" + i, false);
                }
                w.faultsEnded();
              });
        });
    w.clock.runUntil(300_000);
    assertRulesKept(w);
    assertTrue(w.checker.isDone(spec[1].uid()), "the other job is served by the next leader");
    assertFalse(w.checker.isDone(spec[0].uid()));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void processesBackWithinAFractionOfASecondAlsoInMidElection(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, NODES, 14, List.of("a"));
    for (int i = 0; i < 60; i++) {
      w.clock.after(
          3_000 + i * 1_000, () -> w.submitAndPoll(job(w, "a", Priority.HIGH, 4, 1, 5, 0)));
    }
    Random r = new Random(seed);
    w.network.setLateRequestShare(0.1);
    for (int t = 15_000; t < 60_000; t += 9_000) {
      w.clock.after(t, () -> w.crash(Math.max(0, w.leader()), 20 + r.nextInt(300)));
      for (int again = 0; again < 3; again++) {
        w.clock.after(t + r.nextInt(6_000), () -> w.crash(r.nextInt(NODES), 20 + r.nextInt(300)));
      }
    }
    w.clock.after(
        65_000,
        () -> {
          w.network.setLateRequestShare(0);
          w.faultsEnded();
        });
    w.clock.runUntil(300_000);
    assertRulesKept(w);
    assertEquals(60, w.checker.jobsDone());
  }

  /**
   * Steps that became ready counted as jobs that come, so that the whole fleet was kept for the
   * full idle time after the last of them, though users had stopped long before.
   */
  @Test
  void machinesGoBackOnceUsersHaveStoppedAlthoughAPipelineGoesOn() {
    SimulatedCluster.Deployment small = SimulatedCluster.Deployment.small(NODES, 14, List.of("a"));
    SimulatedCluster w =
        new SimulatedCluster(
            8,
            new SimulatedCluster.Deployment(
                small.controllerCount(),
                small.capacity(),
                small.zones(),
                small.workers(),
                small.state(),
                small.cloud(),
                small.teams(),
                new Policy(3, 8, 120, 0, 100, 20, Map.of())));
    for (int i = 0; i < 8; i++) {
      w.clock.after(
          3_000 + i * 1_000,
          () -> w.submitAndPoll(job(w, "burst", Priority.NORMAL, 12, 1, 10, 30)));
    }
    String[] before = new String[0];
    for (int i = 0; i < 30; i++) {
      JobSpec step =
          JobSpecFixtures.withDependencies(job(w, "step", Priority.NORMAL, 1, 1, 5, 0), before);
      w.clock.after(3_000 + i * 500, () -> w.submitAndPoll(step));
      before = new String[] {step.uid()};
    }
    int[] most = new int[1];
    w.clock.after(45_000, () -> most[0] = w.cloud.machineCount());
    w.clock.runUntil(110_000);
    assertTrue(most[0] >= 4, "a fleet for the burst: " + most[0]);
    assertTrue(w.checker.jobsDone() < 38, "the pipeline goes on");
    assertTrue(w.cloud.machineCount() <= 2, w.cloud.machineCount() + " machines for one core");
    w.clock.runUntil(500_000);
    assertRulesKept(w);
    assertEquals(38, w.checker.jobsDone());
  }
}
