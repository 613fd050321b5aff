package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.sim.ReferenceProgressRecords.StoredJob;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.Transaction;

/**
 * Guards against a new leader counting cores for placements that its predecessor had proven ended,
 * which would keep teams from starting jobs within their limits.
 *
 * <p>Every team is at its limit when all its jobs are cancelled. Once their placements are proven
 * ended, their machines become unreachable and the leader crashes, so that the next leader has only
 * the stored records.
 */
class CancelledLimitsTest {
  private static final Settings.WorkerLimits WORKERS = new Settings.WorkerLimits(5, 26.5, 56.5);
  private static final long CANCELLATION_LIMIT_MS = 56_500;
  private static final int JOBS_PER_TEAM = 3;
  private static final double TEAM_LIMIT_CORES = 12;

  /**
   * The longest time from the crash of the leader until the later jobs begin: enough for an
   * election, provisioning and a boot. A leader that waited for the unreachable machines would take
   * longer, as it would wait for the worker lease and the grace, both counted from its election.
   */
  private static final long MAX_START_DELAY_MS = 40_000;

  /** A fault at the time of the cancellation. */
  private enum FaultCase {
    NONE {
      @Override
      long inject(Run run) {
        return 25_000;
      }
    },

    /** The next leader must prove the ends again, and record them. */
    LEADER_ENDS_BETWEEN_PROOF_AND_WRITE {
      @Override
      long inject(Run run) {
        run.cluster.clock.after(
            1_500,
            () -> {
              run.termsBefore = run.cluster.termCount();
              run.cluster.crash(run.cluster.leader(), 2_000);
            });
        return CANCELLATION_LIMIT_MS + 12_000;
      }

      @Override
      void assertOccurred(Run run) {
        assertTrue(
            run.cluster.termCount() >= run.termsBefore + 2,
            "the leader changed fewer than two times");
      }
    },

    WRITES_LATE_OR_UNANSWERED {
      @Override
      long inject(Run run) {
        run.cluster.network.setUnansweredWrites(0.5, false);
        run.cluster.clock.after(30_000, () -> run.cluster.network.setUnansweredWrites(0, false));
        return 50_000;
      }
    },

    MACHINES_PARTITIONED_OR_UNRESPONSIVE {
      @Override
      long inject(Run run) {
        for (int i = 0; i < run.workers.size(); i++) {
          SimWorker worker = run.workers.get(i);
          if (i % 2 == 0) {
            run.setPartitioned(worker, true);
          } else {
            worker.hang(CANCELLATION_LIMIT_MS);
          }
        }
        // The leader resigns because it reaches no machine, and the next leader waits for the
        // machines as well. The returned time covers both waits.
        return 2 * CANCELLATION_LIMIT_MS + 15_000;
      }
    };

    /**
     * Injects the fault.
     *
     * @return the time in ms from the cancellation by which all ends are proven and recorded
     */
    abstract long inject(Run run);

    void assertOccurred(Run run) {}
  }

  private static final class Run {
    private final SimulatedCluster cluster;
    private final List<JobSpec> cancelledJobs = new ArrayList<>();
    private final List<JobSpec> laterJobs = new ArrayList<>();
    private final List<SimWorker> workers = new ArrayList<>();
    private long termsBefore;
    private double coresBefore;

    Run(long seed) {
      cluster =
          new SimulatedCluster(
              seed,
              new SimulatedCluster.Deployment(
                  3,
                  14,
                  List.of("a", "b"),
                  WORKERS,
                  new Settings.StateLimits(120, 35, 8, 12),
                  new Settings.CloudLimits(20, 3),
                  List.of(
                      new Settings.Team("red", 8, TEAM_LIMIT_CORES, 0, 0),
                      new Settings.Team("blue", 8, TEAM_LIMIT_CORES, 0, 0)),
                  new Policy(3, 8, 15, 0, 100, 20, Map.of())));
    }

    void submit(List<JobSpec> jobs, double runS) {
      for (int i = 0; i < 2 * JOBS_PER_TEAM; i++) {
        String team = i % 2 == 0 ? "red" : "blue";
        JobSpec job =
            JobSpecFixtures.batch(cluster.newUid(), "c", team, Priority.NORMAL, 1, 4, 0.1, runS, 0)
                .withTypes(List.of("small"));
        jobs.add(job);
        cluster.submitAndPoll(job);
      }
    }

    void setPartitioned(SimWorker worker, boolean partitioned) {
      for (int i = 0; i < cluster.controllerCount; i++) {
        cluster.network.holdPackets("n" + i, worker.host(), partitioned);
      }
    }

    long cancelAll(FaultCase fault) {
      coresBefore = cluster.checker.coresInUse("red") + cluster.checker.coresInUse("blue");
      List<String> hosts = new ArrayList<>();
      cancelledJobs.forEach(j -> hosts.addAll(cluster.checker.hostsOf(j.uid())));
      cluster.cloud.workers().stream()
          .filter(worker -> hosts.contains(worker.host()))
          .forEach(workers::add);
      cancelledJobs.forEach(j -> cluster.cancel(j.uid(), 0));
      return fault.inject(this);
    }
  }

  static Stream<Arguments> runs() {
    return Stream.of(FaultCase.values())
        .flatMap(t -> Stream.of(1L, 2L, 3L).map(seed -> Arguments.of(t, seed)));
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("runs")
  void nextLeaderCountsNoCoresForPlacementsProvenEnded(FaultCase fault, long seed) {
    Run run = new Run(seed);
    SimulatedCluster cluster = run.cluster;
    cluster.clock.after(3_000, () -> run.submit(run.cancelledJobs, 400));
    cluster.clock.runUntil(50_000);
    long provenMs = 50_000 + run.cancelAll(fault);
    assertEquals(
        2 * TEAM_LIMIT_CORES, run.coresBefore, "cores in use, with every team at its limit");
    cluster.clock.runUntil(provenMs);
    run.cancelledJobs.forEach(j -> assertEquals("aborted", cluster.checker.finalStatus(j.uid())));
    run.cancelledJobs.forEach(
        j -> assertEquals(List.of(), recordedPlacements(cluster, j), j.uid()));
    run.workers.forEach(worker -> run.setPartitioned(worker, true));
    // The wait for a machine that fails to boot would delay the later jobs as well.
    cluster.cloud.stopBootFailures();
    cluster.crash(cluster.leader(), 2_000);
    run.submit(run.laterJobs, 10);
    cluster.clock.runUntil(provenMs + MAX_START_DELAY_MS);
    for (JobSpec job : run.laterJobs) {
      assertTrue(
          cluster.checker.firstStartMs(job.uid()) >= 0,
          job.uid() + " has not begun, although all earlier placements are proven ended");
    }
    run.workers.forEach(worker -> run.setPartitioned(worker, false));
    cluster.faultsEnded();
    cluster.clock.runUntil(provenMs + 150_000);
    assertEquals(List.of(), cluster.checker.violations());
    fault.assertOccurred(run);
  }

  private static List<String> recordedPlacements(SimulatedCluster cluster, JobSpec job) {
    StoredJob stored = new StoredJob(job.uid(), job.tasks(), 10_000);
    return Stream.of(
            ReferenceProgressRecords.read(LowerLimitsTest.allEntries(cluster.state), stored))
        .filter(s -> s.startsWith("live"))
        .toList();
  }

  /** While jobs start and end, other writes include the ends of cancelled jobs' placements. */
  @Test
  void endsOfCancelledPlacementsTakeNoTransactionOfTheirOwnWhileJobsComeAndGo() {
    Run run = new Run(1);
    SimulatedCluster cluster = run.cluster;
    Random random = new Random(5);
    int[] writeCounts = new int[2];
    cluster.state.onWrite(
        transaction -> {
          writeCounts[0] +=
              transaction.changes().stream().anyMatch(CancelledLimitsTest::isProgress) ? 1 : 0;
          writeCounts[1] += holdsOnlyEndsOfCancelledJobs(cluster, transaction) ? 1 : 0;
        });
    for (int i = 0; i < 200; i++) {
      cluster.clock.after(
          3_000 + i * 1_000,
          () ->
              cluster.submitAndPoll(
                  JobSpecFixtures.batch(
                      cluster.newUid(),
                      "c",
                      "blue",
                      Priority.NORMAL,
                      2,
                      0.5,
                      0.1,
                      8 + random.nextInt(9),
                      0)));
      if (i % 3 == 2 && i > 20) {
        cluster.clock.after(3_500 + i * 1_000, () -> cluster.cancelRunning(1, 0));
      }
    }
    cluster.clock.runUntil(203_000);
    assertTrue(
        cluster.checker.cancelledWithRunningTasks() >= 30,
        cluster.checker.cancelledWithRunningTasks()
            + " jobs were cancelled while running, fewer than 30");
    assertTrue(writeCounts[0] > 150, writeCounts[0] + " writes of progress, not more than 150");
    assertEquals(0, writeCounts[1]);
    assertEquals(List.of(), cluster.checker.violations());
  }

  private static boolean isProgress(Change change) {
    return change.key().startsWith(Keys.PROGRESS_LOG) || change.key().startsWith(Keys.SNAPSHOTS);
  }

  /**
   * Returns whether the transaction holds only log records, and these only ends of placements of
   * cancelled jobs.
   */
  private static boolean holdsOnlyEndsOfCancelledJobs(
      SimulatedCluster cluster, Transaction transaction) {
    SortedMap<String, Entry> all = LowerLimitsTest.allEntries(cluster.state);
    List<String> lines = new ArrayList<>();
    for (Change change : transaction.changes()) {
      if (!(change instanceof Change.Put put) || !put.key().startsWith(Keys.PROGRESS_LOG)) {
        return false;
      }
      put.value().path("jobs").forEach(line -> lines.add(line.asText()));
    }
    return !lines.isEmpty()
        && lines.stream()
            .map(line -> line.split("\\|", -1))
            .allMatch(
                f -> all.containsKey(Keys.cancellation(f[0])) && f[3].isEmpty() && f[5].isEmpty());
  }
}
