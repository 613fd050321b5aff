package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.ploverspindle.model.JobSpec;

/**
 * Guards against a team exceeding its limit, and against room that stays unused, when the leader
 * changes while attempts of the team run on workers that the next leader can't reach, or their jobs
 * are cancelled meanwhile.
 */
class TeamLimitFaultsTest extends FaultScenarioTest {
  private static final double TEAM_LIMIT_CORES = 16;

  private enum Combinations implements FaultScenario.Combination {
    TEAM_AT_ITS_LIMIT_LEADER_CHANGE_UNREACHABLE_WORKERS_AND_CANCELLATIONS {
      @Override
      public void schedule(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        for (int i = 0; i < 4; i++) {
          scenario.at(3_000 + i * 300, () -> cluster.submitAndPoll(scenario.job("red", 1, 4, 260)));
        }
        List<String> waiting = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
          scenario.at(
              44_000 + i * 300,
              () -> {
                JobSpec spec = scenario.job("red", 1, 4, 20);
                waiting.add(spec.uid());
                cluster.submitAndPoll(spec);
              });
        }
        scenario.at(50_000, () -> partitionWorkersAndCrashLeader(scenario));
        scenario.faultsEndMs = 50_000 + scenario.cancellationMs + 25_000;
        scenario.requireLeaderChanges(1);
        scenario.requireEvidence(
            "the team used its limit of 16 cores", () -> scenario.recorded("red cores") == 16);
        scenario.requireEvidence(
            "at least two workers were unreachable", () -> scenario.recorded("unreachable") >= 2);
        scenario.requireEvidence(
            "at least two cancellations of running jobs",
            () -> cluster.checker.cancelledWithRunningTasks() >= 2);
        scenario.requireEvidence(
            "a waiting job ran once there was room",
            () -> waiting.stream().anyMatch(uid -> cluster.checker.isDone(uid)));
      }

      private void partitionWorkersAndCrashLeader(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.record("red cores", () -> Math.round(cluster.checker.coresInUse("red")));
        scenario.record("terms", cluster::termCount);
        List<SimWorker> busy = scenario.busyWorkers();
        List<SimWorker> partitioned = busy.subList(0, Math.max(0, busy.size() - 1));
        scenario.record("unreachable", partitioned::size);
        List<String> onPartitioned = scenario.runningJobsOn(partitioned);
        partitioned.forEach(worker -> scenario.partition(worker, true));
        long durationMs = 4_000 + scenario.random.nextInt((int) scenario.leaseMs + 10_000);
        cluster.clock.after(
            durationMs, () -> partitioned.forEach(worker -> scenario.partition(worker, false)));
        cluster.clock.after(scenario.random.nextInt(1_000), () -> scenario.crashLeader(2_000));
        // Cancels one job on a partitioned worker and one on a reachable worker.
        List<String> onReachable =
            cluster.checker.running().stream().filter(uid -> !onPartitioned.contains(uid)).toList();
        onPartitioned.stream()
            .limit(1)
            .forEach(
                uid ->
                    cluster.clock.after(
                        500 + scenario.random.nextInt(7_000), () -> cluster.cancel(uid, 0)));
        onReachable.stream()
            .limit(1)
            .forEach(
                uid ->
                    cluster.clock.after(
                        500 + scenario.random.nextInt(7_000), () -> cluster.cancel(uid, 0)));
      }
    },

    EVERY_TEAM_AT_ITS_LIMIT_CANCELLATIONS_ON_LOST_WORKERS_AND_LEADER_CHANGE {
      @Override
      public void schedule(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.submitJobs(3_000, 300, 8, 1, 4, 260);
        scenario.submitJobs(44_000, 300, 8, 1, 4, 20);
        scenario.at(50_000, () -> cancelOnFailedWorkers(scenario));
        scenario.faultsEndMs = 50_000 + scenario.cancellationMs + 25_000;
        scenario.requireLeaderChanges(1);
        scenario.requireEvidence(
            "both teams together used their limits of 32 cores",
            () -> scenario.recorded("red cores") + scenario.recorded("blue cores") == 32);
        scenario.requireEvidence(
            "at least four cancellations of running jobs",
            () -> cluster.checker.cancelledWithRunningTasks() >= 4);
        scenario.requireEvidence(
            "at least two workers unresponsive and two partitioned",
            () -> scenario.recorded("unresponsive") >= 2 && scenario.recorded("partitioned") >= 2);
      }

      private void cancelOnFailedWorkers(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.record("red cores", () -> Math.round(cluster.checker.coresInUse("red")));
        scenario.record("blue cores", () -> Math.round(cluster.checker.coresInUse("blue")));
        scenario.record("terms", cluster::termCount);
        List<SimWorker> busy = new ArrayList<>(scenario.busyWorkers());
        Collections.shuffle(busy, scenario.random);
        long durationMs = 5_000 + scenario.random.nextInt((int) scenario.cancellationMs);
        for (int i = 0; i < Math.min(5, busy.size()); i++) {
          SimWorker worker = busy.get(i);
          scenario
              .runningJobsOn(List.of(worker))
              .forEach(
                  uid ->
                      cluster.clock.after(
                          scenario.random.nextInt(200), () -> cluster.cancel(uid, 0)));
          if (i % 2 == 0) {
            scenario.increase("partitioned", 1);
            cluster.clock.after(
                scenario.random.nextInt(200), () -> scenario.partition(worker, true));
            cluster.clock.after(durationMs, () -> scenario.partition(worker, false));
          } else {
            scenario.increase("unresponsive", 1);
            cluster.clock.after(scenario.random.nextInt(200), () -> worker.hang(durationMs));
          }
        }
        cluster.clock.after(scenario.random.nextInt(3_000), () -> scenario.crashLeader(2_000));
      }
    };

    @Override
    public double teamLimit() {
      return TEAM_LIMIT_CORES;
    }
  }

  TeamLimitFaultsTest() {
    super(Combinations.values());
  }

  static Stream<Arguments> deploymentsAndSeeds() {
    List<Arguments> arguments = new ArrayList<>();
    for (String deployment : FaultScenario.deployments()) {
      for (long seed = 1; seed <= 2; seed++) {
        arguments.add(Arguments.of(deployment, seed));
      }
    }
    return arguments.stream();
  }

  /**
   * Guards against a team exceeding its limit after a failover because the attempt of a completed
   * task is not counted. A worker is partitioned just as a task completes there, so that the
   * heartbeat with the completion is delayed. After the lease of that worker the task starts again
   * elsewhere. Then the delayed heartbeat arrives while the second worker is unreachable, and the
   * leader crashes. The task is done, but its second attempt still runs and counts towards the
   * team, which is at its limit and has more jobs waiting.
   */
  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("deploymentsAndSeeds")
  void attemptOfCompletedTaskCountsTowardsTeamLimitAfterFailover(String deployment, long seed) {
    FaultScenario scenario = new FaultScenario(seed, deployment, TEAM_LIMIT_CORES);
    SimulatedCluster cluster = scenario.cluster;
    int tasks = scenario.isOddSeed ? 1 : 2;
    JobSpec job = scenario.job("red", tasks, 4, 70);
    scenario.at(3_000, () -> cluster.submitAndPoll(job));
    submitOtherJobs(scenario, tasks);
    List<SimWorker> completedOn = new ArrayList<>();
    List<SimWorker> initiallyOn = new ArrayList<>();
    List<SimWorker> restartedOn = new ArrayList<>();
    scenario.repeat(
        20_000,
        230_000,
        25,
        () -> {
          List<SimWorker> current = workersOf(cluster, job.uid());
          if (initiallyOn.isEmpty() && current.size() == tasks) {
            initiallyOn.addAll(current);
          } else if (completedOn.isEmpty() && !initiallyOn.isEmpty() && current.size() < tasks) {
            initiallyOn.removeAll(current);
            completedOn.addAll(initiallyOn);
            completedOn.forEach(worker -> scenario.partition(worker, true));
            // Of two tasks the other one is restarted as well, so that the job is not yet done.
            current.forEach(worker -> cluster.cloud.reclaim(worker.host()));
          } else if (restartedOn.isEmpty() && !completedOn.isEmpty() && current.size() == tasks) {
            restartedOn.addAll(current);
            cluster.clock.after(
                2_500, () -> deliverDelayedHeartbeats(scenario, completedOn, restartedOn));
          }
        });
    scenario.at(260_000, cluster::faultsEnded);
    cluster.clock.runUntil(260_000 + FaultScenario.RECOVERY_MS);
    assertEquals(List.of(), cluster.checker.violations());
    assertTrue(scenario.recorded("arrived") >= 1, "no delayed packet was delivered");
    assertTrue(cluster.termCount() > scenario.recorded("terms"), "the leader did not change");
    assertEquals(
        16, scenario.recorded("red cores"), "cores of the team in use, with the second attempt");
    assertTrue(cluster.checker.isDone(job.uid()));
  }

  private static void submitOtherJobs(FaultScenario scenario, int tasks) {
    SimulatedCluster cluster = scenario.cluster;
    for (int i = tasks; i < 4; i++) {
      scenario.at(4_000 + i * 300, () -> cluster.submitAndPoll(scenario.job("red", 1, 4, 400)));
    }
    for (int i = 0; i < 4; i++) {
      scenario.at(60_000 + i * 300, () -> cluster.submitAndPoll(scenario.job("red", 1, 4, 50)));
    }
  }

  private static List<SimWorker> workersOf(SimulatedCluster cluster, String uid) {
    List<String> hosts = cluster.checker.hostsOf(uid);
    return cluster.cloud.workers().stream()
        .filter(worker -> hosts.contains(worker.host()))
        .toList();
  }

  private static void deliverDelayedHeartbeats(
      FaultScenario scenario, List<SimWorker> completedOn, List<SimWorker> restartedOn) {
    restartedOn.forEach(worker -> scenario.partition(worker, true));
    scenario.cluster.clock.after(
        100,
        () ->
            completedOn.forEach(
                worker -> scenario.increase("arrived", scenario.partition(worker, false))));
    scenario.cluster.clock.after(
        1_000,
        () -> {
          scenario.record(
              "red cores", () -> Math.round(scenario.cluster.checker.coresInUse("red")));
          scenario.record("terms", scenario.cluster::termCount);
          scenario.crashLeader(50);
        });
    scenario.cluster.clock.after(
        scenario.leaseMs + 9_000,
        () -> restartedOn.forEach(worker -> scenario.partition(worker, false)));
  }
}
