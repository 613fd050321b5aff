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

/** Teams at their limits while workers are lost, jobs are cancelled, and the leader changes. */
class TeamLimitFaultsTest extends FaultScenarioTest {
  private static final double TEAM_LIMIT_CORES = 16;

  private enum Combinations implements FaultScenario.Combination {
    TEAM_AT_ITS_LIMIT_LEADER_CHANGE_UNREACHABLE_WORKERS_AND_CANCELLATIONS {
      @Override
      public void play(FaultScenario scenario) {
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
        scenario.at(50_000, () -> makeUnreachable(scenario));
        scenario.faultsEndMs = 50_000 + scenario.cancelMs + 25_000;
        scenario.leaderMustChange(1);
        scenario.mustOccur("at its limit", () -> scenario.noted("red") == 16);
        scenario.mustOccur("machines that can't be asked", () -> scenario.noted("unasked") >= 2);
        scenario.mustOccur("a cancellation", () -> cluster.checker.cancelledWhileOn() >= 2);
        scenario.mustOccur(
            "its room is used then",
            () -> waiting.stream().anyMatch(u -> cluster.checker.isDone(u)));
      }

      private void makeUnreachable(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.note("red", () -> Math.round(cluster.checker.coresInUse("red")));
        scenario.note("terms", cluster::termCount);
        List<SimWorker> busy = scenario.busyWorkers();
        List<SimWorker> cut = busy.subList(0, Math.max(0, busy.size() - 1));
        scenario.note("unasked", cut::size);
        List<String> first = scenario.jobsOn(cut);
        cut.forEach(x -> scenario.partition(x, true));
        long lasting = 4_000 + scenario.random.nextInt((int) scenario.leaseMs + 10_000);
        cluster.clock.after(lasting, () -> cut.forEach(x -> scenario.partition(x, false)));
        cluster.clock.after(scenario.random.nextInt(1_000), () -> scenario.crashLeader(2_000));
        // One of a machine that nobody can ask, one of a machine that answers.
        List<String> other =
            cluster.checker.running().stream().filter(u -> !first.contains(u)).toList();
        first.stream()
            .limit(1)
            .forEach(
                u ->
                    cluster.clock.after(
                        500 + scenario.random.nextInt(7_000), () -> cluster.cancel(u, 0)));
        other.stream()
            .limit(1)
            .forEach(
                u ->
                    cluster.clock.after(
                        500 + scenario.random.nextInt(7_000), () -> cluster.cancel(u, 0)));
      }
    },

    EVERY_TEAM_AT_ITS_LIMIT_CANCELLATIONS_ON_LOST_WORKERS_AND_LEADER_CHANGE {
      @Override
      public void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.jobs(3_000, 300, 8, 1, 4, 260);
        scenario.jobs(44_000, 300, 8, 1, 4, 20);
        scenario.at(50_000, () -> cancelOnLostWorkers(scenario));
        scenario.faultsEndMs = 50_000 + scenario.cancelMs + 25_000;
        scenario.leaderMustChange(1);
        scenario.mustOccur(
            "every team at its limit", () -> scenario.noted("red") + scenario.noted("blue") == 32);
        scenario.mustOccur("cancelled", () -> cluster.checker.cancelledWhileOn() >= 4);
        scenario.mustOccur(
            "hung and cut", () -> scenario.noted("hung") >= 2 && scenario.noted("cut") >= 2);
      }

      private void cancelOnLostWorkers(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.note("red", () -> Math.round(cluster.checker.coresInUse("red")));
        scenario.note("blue", () -> Math.round(cluster.checker.coresInUse("blue")));
        scenario.note("terms", cluster::termCount);
        List<SimWorker> busy = new ArrayList<>(scenario.busyWorkers());
        Collections.shuffle(busy, scenario.random);
        long lasting = 5_000 + scenario.random.nextInt((int) scenario.cancelMs);
        for (int i = 0; i < Math.min(5, busy.size()); i++) {
          SimWorker x = busy.get(i);
          scenario
              .jobsOn(List.of(x))
              .forEach(
                  u ->
                      cluster.clock.after(
                          scenario.random.nextInt(200), () -> cluster.cancel(u, 0)));
          if (i % 2 == 0) {
            scenario.increase("cut", 1);
            cluster.clock.after(scenario.random.nextInt(200), () -> scenario.partition(x, true));
            cluster.clock.after(lasting, () -> scenario.partition(x, false));
          } else {
            scenario.increase("hung", 1);
            cluster.clock.after(scenario.random.nextInt(200), () -> x.hang(lasting));
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
    List<Arguments> all = new ArrayList<>();
    for (String deployment : FaultScenario.deployments()) {
      for (long seed = 1; seed <= 2; seed++) {
        all.add(Arguments.of(deployment, seed));
      }
    }
    return all.stream();
  }

  /**
   * A worker is partitioned just as a task completes there, and its report of that is delayed;
   * after its lease the task starts again elsewhere. Then the report arrives while the second
   * worker is unreachable, and the leader crashes: the task is done, but its second attempt still
   * runs and counts for its team, which is at its limit with more to run.
   */
  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("deploymentsAndSeeds")
  void anAttemptThatGoesOnAfterItsTaskIsDoneCountsForTheNextLeader(String deployment, long seed) {
    FaultScenario scenario = new FaultScenario(seed, deployment, TEAM_LIMIT_CORES);
    SimulatedCluster cluster = scenario.cluster;
    int tasks = scenario.oddSeed ? 1 : 2;
    JobSpec job = scenario.job("red", tasks, 4, 70);
    scenario.at(3_000, () -> cluster.submitAndPoll(job));
    submitOthers(scenario, tasks);
    List<SimWorker> completedOn = new ArrayList<>();
    List<SimWorker> first = new ArrayList<>();
    List<SimWorker> again = new ArrayList<>();
    scenario.every(
        20_000,
        230_000,
        25,
        () -> {
          List<SimWorker> on = machinesOf(cluster, job.uid());
          if (first.isEmpty() && on.size() == tasks) {
            first.addAll(on);
          } else if (completedOn.isEmpty() && !first.isEmpty() && on.size() < tasks) {
            first.removeAll(on);
            completedOn.addAll(first);
            completedOn.forEach(x -> scenario.partition(x, true));
            // Of two tasks the other one begins again as well, so that the job is not yet done.
            on.forEach(x -> cluster.cloud.reclaim(x.host()));
          } else if (again.isEmpty() && !completedOn.isEmpty() && on.size() == tasks) {
            again.addAll(on);
            cluster.clock.after(2_500, () -> deliverDelayedReports(scenario, completedOn, again));
          }
        });
    scenario.at(260_000, cluster::faultsEnded);
    cluster.clock.runUntil(260_000 + FaultScenario.RECOVERY_MS);
    assertEquals(List.of(), cluster.checker.broken());
    assertTrue(scenario.noted("arrived") >= 1, "held reports arrived");
    assertTrue(cluster.termCount() > scenario.noted("terms"), "the lead changed");
    assertEquals(16, scenario.noted("red"), "at its limit, with what goes on");
    assertTrue(cluster.checker.isDone(job.uid()));
  }

  private static void submitOthers(FaultScenario scenario, int tasks) {
    SimulatedCluster cluster = scenario.cluster;
    for (int i = tasks; i < 4; i++) {
      scenario.at(4_000 + i * 300, () -> cluster.submitAndPoll(scenario.job("red", 1, 4, 400)));
    }
    for (int i = 0; i < 4; i++) {
      scenario.at(60_000 + i * 300, () -> cluster.submitAndPoll(scenario.job("red", 1, 4, 50)));
    }
  }

  private static List<SimWorker> machinesOf(SimulatedCluster cluster, String uid) {
    List<String> hosts = cluster.checker.hostsOf(uid);
    return cluster.cloud.workers().stream().filter(x -> hosts.contains(x.host())).toList();
  }

  private static void deliverDelayedReports(
      FaultScenario scenario, List<SimWorker> completedOn, List<SimWorker> again) {
    again.forEach(x -> scenario.partition(x, true));
    scenario.cluster.clock.after(
        100,
        () -> completedOn.forEach(x -> scenario.increase("arrived", scenario.partition(x, false))));
    scenario.cluster.clock.after(
        1_000,
        () -> {
          scenario.note("red", () -> Math.round(scenario.cluster.checker.coresInUse("red")));
          scenario.note("terms", scenario.cluster::termCount);
          scenario.crashLeader(50);
        });
    scenario.cluster.clock.after(
        scenario.leaseMs + 9_000, () -> again.forEach(x -> scenario.partition(x, false)));
  }
}
