package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;
import org.ploverspindle.JobSpecBuilder;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;

/** One simulated day, in which one combination of faults is provoked. */
final class FaultScenario {
  static final int CONTROLLERS = 3;
  static final long RECOVERY_MS = 110_000;

  /** Report, lease and cancellation times of the operators' deployments. */
  private static final Map<String, Settings.WorkerLimits> TIMINGS =
      new LinkedHashMap<>(
          Map.of(
              "Athens", new Settings.WorkerLimits(3, 14, 39),
              "Kosice", new Settings.WorkerLimits(1.5, 10, 40),
              "large Athens", new Settings.WorkerLimits(5, 26.5, 51.5),
              "large Kosice", new Settings.WorkerLimits(5, 26.5, 56.5)));

  final SimulatedCluster cluster;
  final Random random;
  final boolean isOddSeed;
  final long leaseMs;
  final long cancellationMs;
  private final Map<String, BooleanSupplier> evidence = new LinkedHashMap<>();
  private final Map<String, Long> recorded = new HashMap<>();
  long faultsEndMs;

  FaultScenario(long seed, String deployment, double limit) {
    Settings.WorkerLimits limits = TIMINGS.get(deployment);
    this.cluster =
        new SimulatedCluster(
            seed,
            new SimulatedCluster.Deployment(
                CONTROLLERS,
                14,
                List.of("a", "b"),
                limits,
                new Settings.StateLimits(120, 35, 8, 12),
                new Settings.CloudLimits(20, 3),
                List.of(
                    new Settings.Team("red", 8, limit, 0, 0),
                    new Settings.Team("blue", 8, limit, 0, 0)),
                new Policy(3, 8, 15, 0, 100, 20, Map.of())));
    this.random = new Random(seed * 31 + 7);
    this.isOddSeed = seed % 2 == 1;
    this.leaseMs = Math.round(limits.leaseS() * 1000);
    this.cancellationMs = Math.round(limits.cancelS() * 1000);
  }

  void at(long atMs, Runnable action) {
    cluster.clock.after(atMs - cluster.clock.nowMs(), action);
  }

  /** From then on, again and again until the other time. */
  void repeat(long fromMs, long untilMs, long periodMs, Runnable action) {
    for (long timeMs = fromMs; timeMs < untilMs; timeMs += periodMs) {
      at(timeMs, action);
    }
  }

  void record(String name, LongSupplier value) {
    recorded.put(name, value.getAsLong());
  }

  void increase(String name, long amount) {
    recorded.merge(name, amount, Long::sum);
  }

  long recorded(String name) {
    return recorded.getOrDefault(name, 0L);
  }

  /** Evidence that the combination of faults occurred; it must hold at the end. */
  void requireEvidence(String description, BooleanSupplier occurred) {
    evidence.put(description, occurred);
  }

  void requireLeaderChanges(long minimum) {
    requireEvidence("the lead changed", () -> cluster.termCount() - recorded("terms") >= minimum);
  }

  JobSpec job(String team, int tasks, double cores, double runtimeS) {
    JobSpecBuilder job =
        JobSpecBuilder.job(cluster.newUid())
            .team(team)
            .tasks(tasks)
            .cores(cores)
            .image("image", 0.1)
            .expectedS(runtimeS);
    return (cores >= 4 ? job.types("small") : job).build();
  }

  /** The same job with constraints on zones; an empty zone is any. */
  JobSpec withZoneConstraints(JobSpec spec, String zone, boolean oneZone, boolean spreadOverZones) {
    return JobSpecBuilder.from(spec)
        .zone(zone.isEmpty() ? Optional.empty() : Optional.of(zone))
        .oneZone(oneZone)
        .spreadOverZones(spreadOverZones)
        .build();
  }

  /** The same job with a high priority and a deadline. */
  JobSpec withHighPriorityAndDeadline(JobSpec spec) {
    return JobSpecBuilder.from(spec)
        .jobClass("pressing")
        .priority(Priority.HIGH)
        .deadlineS(30)
        .build();
  }

  /** Both teams' jobs, one after another. */
  void submitJobs(
      long fromMs, long spacingMs, int count, int tasks, double cores, double runtimeS) {
    for (int i = 0; i < count; i++) {
      String team = i % 2 == 0 ? "red" : "blue";
      at(fromMs + i * spacingMs, () -> cluster.submitAndPoll(job(team, tasks, cores, runtimeS)));
    }
  }

  void crashLeader(long restartDelayMs) {
    if (cluster.leader() >= 0) {
      cluster.crash(cluster.leader(), restartDelayMs);
      increase("crashes", 1);
    }
  }

  /**
   * The leader is back at once, and every second machine with tasks can't be asked what is there:
   * the next leader has nothing but the records.
   */
  void crashLeaderAndPartitionSomeWorkers() {
    List<SimWorker> busy = busyWorkers();
    for (int i = 0; i < busy.size(); i += 2) {
      SimWorker worker = busy.get(i);
      partition(worker, true);
      cluster.clock.after(leaseMs, () -> partition(worker, false));
    }
    crashLeader(50);
  }

  /** The machines that tasks of running jobs are on, in the order of their jobs. */
  List<SimWorker> busyWorkers() {
    Set<String> hosts = new HashSet<>();
    cluster.checker.running().forEach(uid -> hosts.addAll(cluster.checker.hostsOf(uid)));
    return cluster.cloud.workers().stream()
        .filter(worker -> hosts.contains(worker.host()))
        .toList();
  }

  /** No controller reaches the machine, nor it any of them; what is sent comes at the end. */
  int partition(SimWorker worker, boolean active) {
    int delivered = 0;
    for (int i = 0; i < CONTROLLERS; i++) {
      delivered += cluster.network.holdPackets("n" + i, worker.host(), active);
    }
    return delivered;
  }

  /** Of all controllers the machine reaches that one only. */
  void partitionFromAllBut(SimWorker worker, int controller, boolean active) {
    for (int i = 0; i < CONTROLLERS; i++) {
      if (i != controller) {
        cluster.network.holdPackets("n" + i, worker.host(), active);
      }
    }
  }

  /** All other machines that are up do not reach the controller, and can't tell it of a new one. */
  void partitionAllExcept(int controller, List<SimWorker> excluded, long durationMs) {
    List<SimWorker> others =
        cluster.cloud.workers().stream().filter(worker -> !excluded.contains(worker)).toList();
    others.forEach(worker -> cluster.network.holdPackets("n" + controller, worker.host(), true));
    cluster.clock.after(
        durationMs,
        () ->
            others.forEach(
                worker -> cluster.network.holdPackets("n" + controller, worker.host(), false)));
  }

  /** Running jobs with a task on one of the machines. */
  List<String> runningJobsOn(List<SimWorker> machines) {
    Set<String> hosts = new HashSet<>();
    machines.forEach(worker -> hosts.add(worker.host()));
    return cluster.checker.running().stream()
        .filter(uid -> cluster.checker.hostsOf(uid).stream().anyMatch(hosts::contains))
        .toList();
  }

  /** One combination of faults, played in one scenario for each deployment. */
  interface Combination {
    /** Schedules the faults, and says by which evidence they occurred. */
    void schedule(FaultScenario scenario);

    /** The cores that each team may use at once; 0 for no limit. */
    default double teamLimit() {
      return 0;
    }
  }

  /** Each combination with each deployment's timing, and a seed for each. */
  static Stream<Arguments> combinationsByDeployment(Combination[] combinations) {
    List<Arguments> arguments = new ArrayList<>();
    for (Combination combination : combinations) {
      long seed = 1;
      for (String deployment : deployments()) {
        arguments.add(Arguments.of(combination, deployment, seed++));
      }
    }
    return arguments.stream();
  }

  static List<String> deployments() {
    return TIMINGS.keySet().stream().sorted().toList();
  }

  /** Fails if a rule broke, if an accepted job never began, or if the faults did not occur. */
  static void assertInvariantsHold(Combination combination, String deployment, long seed) {
    FaultScenario scenario = new FaultScenario(seed, deployment, combination.teamLimit());
    SimulatedCluster cluster = scenario.cluster;
    combination.schedule(scenario);
    scenario.at(scenario.faultsEndMs, cluster::faultsEnded);
    cluster.clock.runUntil(scenario.faultsEndMs + RECOVERY_MS);
    assertEquals(List.of(), cluster.checker.broken());
    assertEquals(0, cluster.checker.neverBegun(), "accepted jobs never began");
    List<String> missingEvidence =
        scenario.evidence.entrySet().stream()
            .filter(entry -> !entry.getValue().getAsBoolean())
            .map(entry -> entry.getKey() + " " + scenario.recorded)
            .toList();
    assertEquals(List.of(), missingEvidence, "did not occur");
  }
}
