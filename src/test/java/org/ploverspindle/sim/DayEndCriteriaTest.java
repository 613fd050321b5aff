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

/** The criteria for the end of a simulated day, each under the fault that could violate it. */
class DayEndCriteriaTest {
  private static final int CONTROLLERS = 3;

  static JobSpec job(
      SimulatedCluster cluster,
      String jobClass,
      Priority priority,
      int tasks,
      double cores,
      double expectedS,
      double deadlineS) {
    return JobSpecFixtures.batch(
        cluster.newUid(), jobClass, "blue", priority, tasks, cores, 0.1, expectedS, deadlineS);
  }

  private static void assertRulesKept(SimulatedCluster cluster) {
    cluster.checker.checkService();
    assertEquals(List.of(), cluster.checker.violations());
    assertEquals(0, cluster.checker.neverStartedCount());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void everyJobIsKnownAndRunsAfterAllControllersRestartAtOnce(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, CONTROLLERS, 14, List.of("a"));
    for (int i = 0; i < 700; i++) {
      cluster.clock.after(
          3_000 + i * 90,
          () -> cluster.submitAndPoll(job(cluster, "small", Priority.NORMAL, 1, 0.1, 1, 0)));
    }
    for (int i = 0; i < 60; i++) {
      cluster.clock.after(
          60_000 + i * 60,
          () -> cluster.submitAndPoll(job(cluster, "long", Priority.NORMAL, 10, 0.5, 30, 0)));
    }
    cluster.clock.after(
        70_000, () -> IntStream.range(0, CONTROLLERS).forEach(i -> cluster.crash(i, 50 + 900 * i)));
    cluster.clock.after(72_500, cluster::faultsEnded);
    cluster.clock.runUntil(300_000);
    assertRulesKept(cluster);
    assertTrue(cluster.checker.jobsDone() >= 755, cluster.checker.jobsDone() + " jobs done");
  }

  /**
   * Guards against starvation by slack: small jobs arrive every second, and each of them could
   * start before the largest job and still meet its deadline.
   */
  @Test
  void largestJobStartsAlthoughSmallJobsHaveSlack() {
    SimulatedCluster cluster = new SimulatedCluster(4, CONTROLLERS, 10, List.of("a"));
    cluster.clock.after(
        3_000, () -> cluster.submitAndPoll(job(cluster, "array", Priority.NORMAL, 60, 4, 20, 15)));
    for (int i = 0; i < 300; i++) {
      cluster.clock.after(
          3_000 + i * 1_000,
          () -> cluster.submitAndPoll(job(cluster, "array", Priority.NORMAL, 3, 4, 12, 30)));
    }
    cluster.clock.runUntil(300_000);
    long begun = cluster.checker.firstStartMs("run-000000");
    assertTrue(
        begun >= 0 && begun <= 240_000,
        "the largest job, due to start by 240000 ms, first started at " + begun);
    cluster.clock.runUntil(1_500_000);
    assertRulesKept(cluster);
    assertEquals(301, cluster.checker.jobsDone());
  }

  @Test
  void bestEffortJobStartsUnderContinuousHighPriorityLoad() {
    SimulatedCluster cluster = new SimulatedCluster(5, CONTROLLERS, 2, List.of("a"));
    for (int i = 0; i < 300; i++) {
      cluster.clock.after(
          3_000 + i * 1_000,
          () -> cluster.submitAndPoll(job(cluster, "urgent", Priority.HIGH, 4, 4, 10, 60)));
    }
    JobSpec[] low = new JobSpec[1];
    cluster.clock.after(
        10_000,
        () -> {
          low[0] = job(cluster, "archive", Priority.BEST_EFFORT, 8, 4, 10, 0);
          cluster.submitAndPoll(low[0]);
        });
    cluster.clock.runUntil(280_000);
    long begun = cluster.checker.firstStartMs(low[0].uid());
    assertTrue(
        begun >= 0 && begun <= 250_000,
        "the job, due to start by 250000 ms, first started at " + begun);
  }

  /**
   * Two machines send heartbeats but receive nothing, one for 30 s and the other for good. Guards
   * against a leader that keeps on placing tasks on them because their heartbeats still arrive.
   */
  @Test
  void unreachableMachinesGetFewLaunchesAndTheirTasksRunElsewhere() {
    SimulatedCluster cluster = new SimulatedCluster(6, CONTROLLERS, 14, List.of("a"));
    for (int i = 0; i < 120; i++) {
      cluster.clock.after(
          3_000 + i * 1_000,
          () -> cluster.submitAndPoll(job(cluster, "a", Priority.NORMAL, 4, 1, 5, 0)));
    }
    List<SimWorker> unreachable = new ArrayList<>();
    cluster.clock.after(
        40_000,
        () -> {
          unreachable.addAll(cluster.cloud.workers().subList(0, 2));
          unreachable.forEach(worker -> cluster.network.dropInbound(worker.host(), true));
        });
    cluster.clock.after(
        70_000, () -> cluster.network.dropInbound(unreachable.get(0).host(), false));
    cluster.clock.after(72_000, cluster::faultsEnded);
    cluster.clock.runUntil(400_000);
    assertRulesKept(cluster);
    assertEquals(120, cluster.checker.jobsDone());
    for (SimWorker worker : unreachable) {
      int lost = cluster.heartbeatDelivery.undeliveredLaunches(worker.host());
      assertTrue(lost <= 16, lost + " launches, 16 allowed, were lost to " + worker.host());
    }
    assertTrue(
        unreachable.get(1).isTerminated(), "the machine that stays unreachable is terminated");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void rulesHoldUnderDelayedCopiesOfHeartbeats(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, CONTROLLERS, 14, List.of("a"));
    cluster.network.setDelayedCopyShare(0.5);
    for (int i = 0; i < 100; i++) {
      cluster.clock.after(
          3_000 + i * 1_200,
          () -> cluster.submitAndPoll(job(cluster, "a", Priority.HIGH, 6, 1, 6, 0)));
    }
    Random random = new Random(seed);
    for (int atMs = 20_000; atMs < 120_000; atMs += 12_000) {
      cluster.clock.after(
          atMs, () -> cluster.crash(random.nextInt(CONTROLLERS), 100 + random.nextInt(3_000)));
      cluster.clock.after(
          atMs + 5_000,
          () -> {
            List<SimWorker> workers = cluster.cloud.workers();
            if (!workers.isEmpty()) {
              cluster.cloud.fail(workers.get(random.nextInt(workers.size())).host());
            }
          });
    }
    cluster.clock.after(130_000, cluster::faultsEnded);
    cluster.clock.runUntil(400_000);
    assertRulesKept(cluster);
    assertEquals(100, cluster.checker.jobsDone());
  }

  /**
   * Guards against a leader that keeps its workers' leases alive while a network partition
   * separates it from the state service and the other controllers, so that it can't learn of
   * cancellations.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void leaderReachedOnlyByWorkersDoesNotKeepACancelledJobRunning(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, CONTROLLERS, 14, List.of("a"));
    JobSpec[] spec = new JobSpec[2];
    cluster.clock.after(
        3_000,
        () -> {
          spec[0] = job(cluster, "a", Priority.NORMAL, 8, 1, 200, 0);
          spec[1] = job(cluster, "a", Priority.NORMAL, 8, 1, 60, 0);
          cluster.submitAndPoll(spec[0]);
          cluster.submitAndPoll(spec[1]);
        });
    cluster.clock.after(
        30_000,
        () -> {
          int leader = cluster.leader();
          assertTrue(leader >= 0 && cluster.checker.firstStartMs(spec[0].uid()) >= 0);
          cluster.network.partition("n" + leader, SimulatedCluster.STATE, true);
          for (int i = 0; i < CONTROLLERS; i++) {
            cluster.network.partition("n" + leader, "n" + i, true);
          }
          cluster.clock.after(500, () -> cluster.cancel(spec[0].uid(), 0));
          cluster.clock.after(
              60_000,
              () -> {
                cluster.network.partition("n" + leader, SimulatedCluster.STATE, false);
                for (int i = 0; i < CONTROLLERS; i++) {
                  cluster.network.partition("n" + leader, "n" + i, false);
                }
                cluster.faultsEnded();
              });
        });
    cluster.clock.runUntil(300_000);
    assertRulesKept(cluster);
    assertTrue(
        cluster.checker.isDone(spec[1].uid()), "the other job completes under the next leader");
    assertFalse(cluster.checker.isDone(spec[0].uid()));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void rulesHoldUnderFastControllerRestartsDuringElections(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, CONTROLLERS, 14, List.of("a"));
    for (int i = 0; i < 60; i++) {
      cluster.clock.after(
          3_000 + i * 1_000,
          () -> cluster.submitAndPoll(job(cluster, "a", Priority.HIGH, 4, 1, 5, 0)));
    }
    Random random = new Random(seed);
    cluster.network.setLateRequestShare(0.1);
    for (int atMs = 15_000; atMs < 60_000; atMs += 9_000) {
      cluster.clock.after(
          atMs, () -> cluster.crash(Math.max(0, cluster.leader()), 20 + random.nextInt(300)));
      for (int again = 0; again < 3; again++) {
        cluster.clock.after(
            atMs + random.nextInt(6_000),
            () -> cluster.crash(random.nextInt(CONTROLLERS), 20 + random.nextInt(300)));
      }
    }
    cluster.clock.after(
        65_000,
        () -> {
          cluster.network.setLateRequestShare(0);
          cluster.faultsEnded();
        });
    cluster.clock.runUntil(300_000);
    assertRulesKept(cluster);
    assertEquals(60, cluster.checker.jobsDone());
  }

  /**
   * Guards against counting a pipeline's step that becomes ready as a new submission. The whole
   * fleet was then kept for the full idle time after the last step, although users had submitted
   * nothing for long.
   */
  @Test
  void idleMachinesAreTerminatedWhileAPipelineContinues() {
    SimulatedCluster.Deployment small =
        SimulatedCluster.Deployment.small(CONTROLLERS, 14, List.of("a"));
    SimulatedCluster cluster =
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
      cluster.clock.after(
          3_000 + i * 1_000,
          () -> cluster.submitAndPoll(job(cluster, "burst", Priority.NORMAL, 12, 1, 10, 30)));
    }
    String[] dependencies = new String[0];
    for (int i = 0; i < 30; i++) {
      JobSpec step =
          JobSpecFixtures.withDependencies(
              job(cluster, "step", Priority.NORMAL, 1, 1, 5, 0), dependencies);
      cluster.clock.after(3_000 + i * 500, () -> cluster.submitAndPoll(step));
      dependencies = new String[] {step.uid()};
    }
    int[] peakMachines = new int[1];
    cluster.clock.after(45_000, () -> peakMachines[0] = cluster.cloud.machineCount());
    cluster.clock.runUntil(110_000);
    assertTrue(peakMachines[0] >= 4, "machines for the burst, 4 required: " + peakMachines[0]);
    assertTrue(cluster.checker.jobsDone() < 38, "the pipeline is still running at 110 s");
    assertTrue(
        cluster.cloud.machineCount() <= 2,
        cluster.cloud.machineCount() + " machines for one core, 2 allowed");
    cluster.clock.runUntil(500_000);
    assertRulesKept(cluster);
    assertEquals(38, cluster.checker.jobsDone());
  }
}
