package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.JobSpecBuilder;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;

/**
 * Runs the controllers under random schedules of faults and checks the protocol's rules with {@link
 * InvariantChecker}. Each seed that has ever failed stays in the lists of seeds.
 */
class InvariantsTest {
  private static final int CONTROLLERS = 3;

  static JobSpec job(String uid, Random random) {
    boolean service = random.nextInt(8) == 0;
    boolean saves = random.nextInt(3) == 0;
    return new JobSpec(
        uid,
        "class-" + random.nextInt(2),
        random.nextBoolean() ? "red" : "blue",
        service ? JobKind.SERVICE : JobKind.BATCH,
        Priority.values()[random.nextInt(4)],
        1 + random.nextInt(service ? 3 : 12),
        1 + random.nextInt(4),
        0,
        1 + random.nextInt(4),
        random.nextInt(4) == 0 ? Optional.of(List.of("large")) : Optional.empty(),
        random.nextInt(5) == 0 ? Optional.of("a") : Optional.empty(),
        random.nextInt(5) == 0,
        random.nextInt(5) == 0,
        random.nextInt(4) > 0,
        "image-" + random.nextInt(3),
        1,
        service ? 0 : 1 + random.nextInt(20),
        saves ? 3 : 0,
        saves ? 1 : 0,
        random.nextBoolean() ? OptionalDouble.of(40) : OptionalDouble.empty(),
        List.of());
  }

  private static void injectRandomFault(SimulatedCluster cluster) {
    Random random = cluster.random;
    int node = random.nextInt(CONTROLLERS);
    long forMs = 1_000 + random.nextInt(30_000);
    switch (random.nextInt(15)) {
      case 0 -> cluster.crash(node, 100 + random.nextInt(4_000));
      case 1 -> {
        for (int i = 0; i < CONTROLLERS; i++) {
          cluster.crash(i, 100 + random.nextInt(4_000));
        }
      }
      case 2 -> {
        cluster.state.setOutage(true);
        cluster.clock.after(forMs, () -> cluster.state.setOutage(false));
      }
      case 3 -> {
        cluster.cloud.setOutage(true);
        cluster.clock.after(forMs, () -> cluster.cloud.setOutage(false));
      }
      case 4 -> partitionFor(cluster, "n" + node, SimulatedCluster.STATE, forMs);
      case 5 ->
          cluster
              .cloud
              .workers()
              .forEach(worker -> partitionFor(cluster, "n" + node, worker.host(), forMs));
      case 6 -> {
        partitionFor(cluster, "n" + node, SimulatedCluster.STATE, forMs);
        cluster.cloud.workers().stream()
            .filter(worker -> random.nextBoolean())
            .forEach(worker -> partitionFor(cluster, "n" + node, worker.host(), forMs));
      }
      case 7 -> {
        List<SimWorker> workers = cluster.cloud.workers();
        if (!workers.isEmpty()) {
          SimWorker worker = workers.get(random.nextInt(workers.size()));
          for (int i = 0; i < CONTROLLERS; i++) {
            partitionFor(cluster, "n" + i, worker.host(), forMs);
          }
        }
      }
      case 8 -> {
        List<SimWorker> workers = cluster.cloud.workers();
        if (!workers.isEmpty()) {
          cluster.cloud.fail(workers.get(random.nextInt(workers.size())).host());
        }
      }
      case 9 -> {
        List<SimWorker> workers = cluster.cloud.workers();
        if (!workers.isEmpty()) {
          SimWorker worker = workers.get(random.nextInt(workers.size()));
          if (random.nextBoolean()) {
            worker.giveSpotNotice();
          } else {
            worker.setFailing(true);
          }
        }
      }
      case 10 -> {
        List<SimWorker> workers = cluster.cloud.workers();
        if (!workers.isEmpty()) {
          SimWorker worker = workers.get(random.nextInt(workers.size()));
          cluster.network.dropInbound(worker.host(), true);
          cluster.clock.after(forMs, () -> cluster.network.dropInbound(worker.host(), false));
        }
      }
      case 11 -> {
        cluster.network.setDelayedCopyShare(0.05 + random.nextDouble() * 0.3);
        cluster.clock.after(forMs, () -> cluster.network.setDelayedCopyShare(0));
      }
      case 12 -> {
        partitionFor(cluster, "n" + node, SimulatedCluster.STATE, forMs);
        for (int i = 0; i < CONTROLLERS; i++) {
          partitionFor(cluster, "n" + node, "n" + i, forMs);
        }
      }
      case 13 -> {
        // Restarts within 420 ms; 0.5 to 6.5 s later two more crashes may hit an election.
        cluster.crash(node, 20 + random.nextInt(400));
        cluster.clock.after(
            500 + random.nextInt(6_000),
            () -> {
              cluster.crash(random.nextInt(CONTROLLERS), 20 + random.nextInt(300));
              cluster.crash(random.nextInt(CONTROLLERS), 20 + random.nextInt(300));
            });
      }
      default -> {
        cluster.network.setLateRequestShare(0.05 + random.nextDouble() * 0.2);
        cluster.clock.after(forMs, () -> cluster.network.setLateRequestShare(0));
      }
    }
  }

  private static void partitionFor(SimulatedCluster cluster, String a, String b, long forMs) {
    cluster.network.partition(a, b, true);
    cluster.clock.after(forMs, () -> cluster.network.partition(a, b, false));
  }

  static SimulatedCluster simulateRandomFaults(long seed, int faults) {
    SimulatedCluster cluster = new SimulatedCluster(seed, CONTROLLERS, 14, List.of("a", "b"));
    Random random = new Random(seed * 31 + 7);
    submitJobs(cluster, random);
    for (int i = 0; i < faults; i++) {
      cluster.clock.after(10_000 + random.nextInt(190_000), () -> injectRandomFault(cluster));
    }
    return runToEnd(cluster);
  }

  /** Simulates pairs of faults; the second fault of a pair begins while the first one lasts. */
  static SimulatedCluster simulateOverlappingFaults(long seed, int pairs) {
    SimulatedCluster cluster = new SimulatedCluster(seed, CONTROLLERS, 14, List.of("a", "b"));
    Random random = new Random(seed * 31 + 7);
    submitJobs(cluster, random);
    Faults[] all = Faults.values();
    for (int i = 0; i < pairs; i++) {
      scheduleFaultPair(
          cluster,
          random,
          all[random.nextInt(all.length)],
          all[random.nextInt(all.length)],
          10_000 + random.nextInt(190_000));
    }
    return runToEnd(cluster);
  }

  /** Simulates two faults that overlap five times, in alternating order. */
  static SimulatedCluster simulateRepeatedFaultPair(long seed, Faults first, Faults second) {
    SimulatedCluster cluster = new SimulatedCluster(seed, CONTROLLERS, 14, List.of("a", "b"));
    Random random = new Random(seed * 31 + 7);
    submitJobs(cluster, random);
    for (int i = 0; i < 5; i++) {
      int atMs = 15_000 + i * 38_000 + random.nextInt(5_000);
      scheduleFaultPair(
          cluster, random, i % 2 == 0 ? first : second, i % 2 == 0 ? second : first, atMs);
    }
    return runToEnd(cluster);
  }

  static void scheduleFaultPair(
      SimulatedCluster cluster, Random random, Faults first, Faults second, int atMs) {
    int forMs = 1_000 + random.nextInt(30_000);
    int secondForMs = 1_000 + random.nextInt(30_000);
    cluster.clock.after(atMs, () -> first.inject(cluster, random, forMs));
    cluster.clock.after(
        atMs + random.nextInt(Math.min(forMs, 9_000)),
        () -> second.inject(cluster, random, secondForMs));
  }

  private static void submitJobs(SimulatedCluster cluster, Random random) {
    for (int i = 0; i < 40; i++) {
      cluster.clock.after(
          3_000 + random.nextInt(150_000),
          () -> {
            JobSpec spec = job(cluster.newUid(), random);
            cluster.submitAndPoll(spec);
            if (spec.expectedS() == 0 || random.nextInt(4) == 0) {
              cluster.clock.after(
                  2_000 + random.nextInt(40_000), () -> cluster.cancel(spec.uid(), 0));
            }
          });
    }
    cluster.clock.after(20_000, () -> cluster.poll("run-999999"));
  }

  private static SimulatedCluster runToEnd(SimulatedCluster cluster) {
    cluster.clock.after(240_000, cluster::faultsEnded);
    cluster.clock.runUntil(420_000);
    cluster.checker.checkService();
    return cluster;
  }

  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 22, 33, 101, 281,
        1207
      })
  void rulesHoldUnderRandomFaults(long seed) {
    SimulatedCluster cluster = simulateRandomFaults(seed, 14);
    assertEquals(List.of(), cluster.checker.violations(), "seed " + seed);
    assertTrue(
        cluster.checker.starts() > 50,
        "seed " + seed + ": " + cluster.checker.starts() + " starts");
    assertEquals(
        0,
        cluster.checker.neverStartedCount(),
        "seed " + seed + ": accepted jobs that never started");
  }

  private static void assertRulesKept(SimulatedCluster cluster, String context) {
    assertEquals(List.of(), cluster.checker.violations(), context);
    assertTrue(
        cluster.checker.starts() > 50, context + ": " + cluster.checker.starts() + " starts");
    assertEquals(
        0, cluster.checker.neverStartedCount(), context + ": accepted jobs that never started");
  }

  @ParameterizedTest
  @EnumSource(Faults.class)
  void rulesHoldUnderEachFault(Faults fault) {
    assertRulesKept(simulateRepeatedFaultPair(1, fault, fault), fault.name());
  }

  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25,
        122, 176
      })
  void rulesHoldUnderOverlappingFaults(long seed) {
    assertRulesKept(simulateOverlappingFaults(seed, 9), "seed " + seed);
  }

  @Test
  void jobOfMaximumSizeIsAcceptedAndStartsThroughCrashes() {
    SimulatedCluster cluster = new SimulatedCluster(5, CONTROLLERS, 14, List.of("a", "b"));
    JobSpec big =
        JobSpecBuilder.job(cluster.newUid())
            .jobClass("big")
            .tasks(JobSpec.MAX_TASKS)
            .expectedS(2)
            .build();
    cluster.clock.after(3_000, () -> cluster.submitAndPoll(big));
    cluster.clock.after(40_000, () -> cluster.crash(0, 1_000));
    cluster.clock.after(45_000, () -> cluster.crash(1, 1_000));
    cluster.clock.runUntil(90_000);
    assertEquals(List.of(), cluster.checker.violations());
    assertTrue(cluster.checker.starts() > 500, cluster.checker.starts() + " starts");
  }

  @Test
  void jobsCompleteOnADayWithoutFaults() {
    SimulatedCluster cluster = simulateRandomFaults(77, 0);
    assertEquals(List.of(), cluster.checker.violations());
    assertTrue(cluster.checker.jobsDone() >= 25, cluster.checker.jobsDone() + " jobs done");
  }
}
