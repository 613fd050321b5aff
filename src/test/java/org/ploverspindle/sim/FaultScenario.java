package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
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
import org.ploverspindle.net.Cbor;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;

/** One simulated day on which one combination of faults is injected. */
final class FaultScenario {
  static final int CONTROLLERS = 3;
  static final long RECOVERY_MS = 110_000;
  private static final int FIRST_FINISHED_UID = 500_000;
  private static final int SHARD_SIZE = 20;
  private static final long EARLIER_MS = -3_600_000;

  /**
   * Heartbeat interval, worker lease and cancellation time of each operator's deployment, in
   * seconds.
   */
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
    this(seed, deployment, limit, CONTROLLERS);
  }

  private FaultScenario(long seed, String deployment, double limit, int controllerCount) {
    Settings.WorkerLimits limits = TIMINGS.get(deployment);
    this.cluster =
        new SimulatedCluster(
            seed,
            new SimulatedCluster.Deployment(
                controllerCount,
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

  /** Runs the action every {@code periodMs} from {@code fromMs} until before {@code untilMs}. */
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

  /** Adds a condition that shows that the faults occurred. It is evaluated when the day is over. */
  void requireEvidence(String description, BooleanSupplier occurred) {
    evidence.put(description, occurred);
  }

  void requireLeaderChanges(long minimum) {
    requireEvidence("the leader changed", () -> cluster.termCount() - recorded("terms") >= minimum);
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

  /** Returns the job with zone constraints. An empty zone allows any zone. */
  JobSpec withZoneConstraints(JobSpec spec, String zone, boolean oneZone, boolean spreadOverZones) {
    return JobSpecBuilder.from(spec)
        .zone(zone.isEmpty() ? Optional.empty() : Optional.of(zone))
        .oneZone(oneZone)
        .spreadOverZones(spreadOverZones)
        .build();
  }

  /** Returns the job with high priority and a deadline of 30 s. */
  JobSpec withHighPriorityAndDeadline(JobSpec spec) {
    return JobSpecBuilder.from(spec)
        .jobClass("pressing")
        .priority(Priority.HIGH)
        .deadlineS(30)
        .build();
  }

  /** Submits jobs one after another, alternating between the two teams. */
  void submitJobs(
      long fromMs, long spacingMs, int count, int tasks, double cores, double runtimeS) {
    for (int i = 0; i < count; i++) {
      String team = i % 2 == 0 ? "red" : "blue";
      at(fromMs + i * spacingMs, () -> cluster.submitAndPoll(job(team, tasks, cores, runtimeS)));
    }
  }

  /** Stores finished jobs of earlier days, as controllers store them; each takes two keys. */
  void preloadFinishedJobs(int count) {
    for (int i = 0; i < count; i++) {
      JobSpec spec = JobSpecBuilder.job("run-" + (FIRST_FINISHED_UID + i)).team("red").build();
      ObjectNode batch = Cbor.map();
      batch.set(spec.uid(), new JobRecord(spec, EARLIER_MS, SHARD_SIZE).encode());
      cluster.state.preload(Keys.jobBatch("earlier-" + i), batch);
      cluster.state.preload(Keys.completion(spec.uid()), Cbor.map().put("tasks", spec.tasks()));
    }
  }

  void crashAll(long restartDelayMs) {
    for (int i = 0; i < cluster.controllerCount; i++) {
      cluster.crash(i, restartDelayMs);
    }
  }

  /** Crashes the controllers that don't lead; returns how many crashed. */
  int crashFollowers(long restartDelayMs) {
    int leader = cluster.leader();
    int crashed = 0;
    for (int i = 0; i < cluster.controllerCount; i++) {
      if (i != leader && cluster.isAlive(i)) {
        cluster.crash(i, restartDelayMs);
        crashed++;
      }
    }
    return crashed;
  }

  int readyControllers() {
    int ready = 0;
    for (int i = 0; i < cluster.controllerCount; i++) {
      ready += cluster.isReady(i) ? 1 : 0;
    }
    return ready;
  }

  void crashLeader(long restartDelayMs) {
    if (cluster.leader() >= 0) {
      cluster.crash(cluster.leader(), restartDelayMs);
      increase("crashes", 1);
    }
  }

  /**
   * Crashes the leader, which restarts after 50 ms, and partitions every second worker with tasks
   * for the duration of a lease. For these workers the next leader knows the tasks from the records
   * only.
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

  /** Returns the workers that have tasks of running jobs, in the order of the cloud's workers. */
  List<SimWorker> busyWorkers() {
    Set<String> hosts = new HashSet<>();
    cluster.checker.running().forEach(uid -> hosts.addAll(cluster.checker.hostsOf(uid)));
    return cluster.cloud.workers().stream()
        .filter(worker -> hosts.contains(worker.host()))
        .toList();
  }

  /**
   * Begins or ends a partition between the worker and all controllers. Packets sent meanwhile are
   * delivered when it ends.
   *
   * @return how many packets are delivered now
   */
  int partition(SimWorker worker, boolean active) {
    int delivered = 0;
    for (int i = 0; i < CONTROLLERS; i++) {
      delivered += cluster.network.holdPackets("n" + i, worker.host(), active);
    }
    return delivered;
  }

  /** Begins or ends a partition between the worker and all controllers but the given one. */
  void partitionFromAllBut(SimWorker worker, int controller, boolean active) {
    for (int i = 0; i < CONTROLLERS; i++) {
      if (i != controller) {
        cluster.network.holdPackets("n" + i, worker.host(), active);
      }
    }
  }

  /**
   * Partitions the controller from all present workers but the excluded ones, so that only the
   * excluded ones can inform it of a higher term.
   */
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

  /** Returns the uids of running jobs that have a task on one of the machines. */
  List<String> runningJobsOn(List<SimWorker> machines) {
    Set<String> hosts = new HashSet<>();
    machines.forEach(worker -> hosts.add(worker.host()));
    return cluster.checker.running().stream()
        .filter(uid -> cluster.checker.hostsOf(uid).stream().anyMatch(hosts::contains))
        .toList();
  }

  /** A combination of faults. A scenario runs it with the timing of each deployment. */
  interface Combination {
    /** Schedules jobs and faults, and adds the evidence by which the faults occurred. */
    void schedule(FaultScenario scenario);

    /** Returns the number of controllers. */
    default int controllerCount() {
      return CONTROLLERS;
    }

    /** Returns how many cores each team may use at once, or 0 for no limit. */
    default double teamLimit() {
      return 0;
    }
  }

  /**
   * Returns each combination with each deployment's timing. The seed is the position of the
   * deployment in the sorted list, from 1.
   */
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

  /**
   * Runs the combination and fails if an invariant was violated, if an accepted job that nobody
   * cancelled never started, or if evidence of the faults is missing.
   */
  static void assertInvariantsHold(Combination combination, String deployment, long seed) {
    FaultScenario scenario =
        new FaultScenario(seed, deployment, combination.teamLimit(), combination.controllerCount());
    SimulatedCluster cluster = scenario.cluster;
    combination.schedule(scenario);
    scenario.at(scenario.faultsEndMs, cluster::faultsEnded);
    cluster.clock.runUntil(scenario.faultsEndMs + RECOVERY_MS);
    assertEquals(List.of(), cluster.checker.violations());
    assertEquals(0, cluster.checker.neverStartedCount(), "accepted jobs that never started");
    List<String> missingEvidence =
        scenario.evidence.entrySet().stream()
            .filter(entry -> !entry.getValue().getAsBoolean())
            .map(entry -> entry.getKey() + ", recorded: " + scenario.recorded)
            .toList();
    assertEquals(List.of(), missingEvidence, "evidence missing for these faults");
  }
}
