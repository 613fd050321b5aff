package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ploverspindle.model.Priority;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fleets of thousands of machines, under the limits of a deployment a quarter as large: a start
 * without machines, a steady load, a crash of the leader, and a network partition of one zone's
 * workers for longer than their lease. The measurements are logged; docs/operations.md has the
 * figures.
 */
class LargeFleetDayTest {
  private static final Logger LOG = LoggerFactory.getLogger(LargeFleetDayTest.class);

  private static final int CONTROLLERS = 5;
  private static final List<String> ZONES = List.of("a", "b", "c", "d");
  private static final String PARTITIONED_ZONE = "b";
  private static final double LEASE_S = 26.5;
  private static final long MACHINES_UP_BY_MS = 60_000;
  private static final long LEADER_CRASH_MS = 64_000;
  private static final long NEXT_LEADER_BY_MS = 80_000;
  private static final long PARTITION_START_MS = 85_000;
  private static final long PARTITION_DURATION_MS = 40_000;
  private static final long LOAD_END_MS = 90_000;
  private static final long DAY_END_MS = 230_000;
  private static final double NANOS_PER_MS = 1e6;

  private static SimulatedCluster.Deployment deployment(int machines) {
    return new SimulatedCluster.Deployment(
        CONTROLLERS,
        machines,
        ZONES,
        new Settings.WorkerLimits(5, LEASE_S, 51.5),
        new Settings.StateLimits(300, 120, 16, 24),
        new Settings.CloudLimits(10, 3),
        List.of(new Settings.Team("red", 8, 24, 0, 0), new Settings.Team("blue", 8, 0, 0, 0)),
        new Policy(3, 30, 60, 0, Policy.UNBOUNDED, 30, Map.of()));
  }

  @ParameterizedTest
  @CsvSource({"4000, 21", "6000, 22"})
  void thousandsOfMachinesServeThroughALeaderChangeAndAZonePartition(int machines, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, deployment(machines));
    submitLoad(cluster, machines, seed);
    List<SimWorker> partitioned = new ArrayList<>();
    cluster.clock.after(LEADER_CRASH_MS, () -> cluster.crash(cluster.leader(), 3_000));
    cluster.clock.after(
        PARTITION_START_MS,
        () -> {
          cluster.cloud.workers().stream()
              .filter(worker -> worker.zone().equals(PARTITIONED_ZONE))
              .forEach(partitioned::add);
          setPartitioned(cluster, partitioned, true);
        });
    cluster.clock.after(
        PARTITION_START_MS + PARTITION_DURATION_MS,
        () -> setPartitioned(cluster, partitioned, false));
    cluster.clock.after(PARTITION_START_MS + PARTITION_DURATION_MS + 5_000, cluster::faultsEnded);
    cluster.clock.runUntil(MACHINES_UP_BY_MS);
    int machinesUp = cluster.cloud.workers().size();
    assertTrue(machinesUp >= machines * 9 / 10, machinesUp + " machines are up");
    cluster.clock.runUntil(NEXT_LEADER_BY_MS);
    int startsBefore = cluster.checker.starts();
    cluster.clock.runUntil(PARTITION_START_MS);
    assertTrue(cluster.checker.starts() > startsBefore, "the next leader starts tasks");
    cluster.clock.runUntil(DAY_END_MS);
    cluster.checker.checkService();
    log(machines, cluster);
    assertEquals(List.of(), cluster.checker.violations());
    assertEquals(0, cluster.checker.neverStartedCount());
    assertTrue(partitioned.size() > machines / 8, partitioned.size() + " machines are partitioned");
    assertEquals(2, cluster.termCount(), "terms, with one crash of a leader");
    assertEquals(
        0, cluster.cloud.requestLimiter.refusedCount(), "cloud calls refused above their rate");
    assertEquals(0, cluster.state.changeLimiter.refusedCount(), "changes refused above their rate");
  }

  /** Submits jobs that keep most of the machines busy. */
  private static void submitLoad(SimulatedCluster cluster, int machines, long seed) {
    Random random = new Random(seed);
    int jobs = machines / 8;
    for (int i = 0; i < jobs; i++) {
      boolean early = i < jobs * 3 / 4;
      long atMs = 3_000 + random.nextInt(early ? 20_000 : (int) LOAD_END_MS);
      Priority priority = random.nextInt(3) == 0 ? Priority.HIGH : Priority.NORMAL;
      int tasks = 10 + random.nextInt(30);
      int cores = 4 + random.nextInt(9);
      int seconds = 20 + random.nextInt(40);
      cluster.clock.after(
          atMs,
          () ->
              cluster.submitAndPoll(
                  DayEndCriteriaTest.job(cluster, "c", priority, tasks, cores, seconds, 200)));
    }
  }

  private static void setPartitioned(
      SimulatedCluster cluster, List<SimWorker> workers, boolean active) {
    for (SimWorker worker : workers) {
      IntStream.range(0, CONTROLLERS)
          .forEach(i -> cluster.network.partition("n" + i, worker.host(), active));
    }
  }

  private static void log(int machines, SimulatedCluster cluster) {
    Histogram heartbeats = cluster.heartbeatDelivery.handlingNanos();
    LOG.info(
        "{} machines: {} starts, {} jobs done, {} reports; a report takes {} ms (median), {} ms"
            + " (99 %); changes a second at most {}, state requests {}, cloud calls {}",
        machines,
        cluster.checker.starts(),
        cluster.checker.jobsDone(),
        heartbeats.getTotalCount(),
        heartbeats.getValueAtPercentile(50) / NANOS_PER_MS,
        heartbeats.getValueAtPercentile(99) / NANOS_PER_MS,
        cluster.state.changeLimiter.peakPerSecond(),
        cluster.state.requestLimiter.requestCount(),
        cluster.cloud.requestLimiter.requestCount());
  }
}
