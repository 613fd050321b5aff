package org.ploverspindle.sim;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.model.Priority;

/**
 * Guards against tasks that are lost or run twice and cancellations that come too late when
 * heartbeats, responses or direct commands of workers are lost or delayed while users submit and
 * cancel.
 */
class WorkerFaultsTest extends UserFaultsDay {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void workersWithoutHeartbeatsExecuteDirectCommandsAndInvariantsHold(long seed) {
    startCluster(seed, 8);
    submitJobs(4_000, 75, 1_000, Priority.HIGH, 2, 9);
    // These tasks run for longer than a worker lease, so that the end of a lease stops them.
    submitJobs(4_500, 10, 1_500, Priority.HIGH, 2, 60);
    int unreachableMs = (int) (timing(seed).leaseS() * 1_500);
    Set<String> unreachable = new HashSet<>();
    for (int round = 0; round < 2; round++) {
      boolean allWorkers = round == 1;
      cluster.clock.after(
          20_000 + round * (unreachableMs + 8_000),
          () -> {
            for (SimWorker worker : cluster.cloud.workers()) {
              if (!worker.isTerminated() && (allWorkers || random.nextInt(3) == 0)) {
                unreachable.add(worker.host());
                cluster.network.dropRequestsFrom(worker.host(), true);
                cluster.clock.after(
                    unreachableMs, () -> cluster.network.dropRequestsFrom(worker.host(), false));
              }
            }
          });
    }
    cluster.clock.after(
        32_000 + unreachableMs, () -> cluster.crash(Math.max(0, cluster.leader()), 500));
    scheduleCancellations(24_000, 10, 4_000);
    runAndCheckRules(30_000 + 2 * unreachableMs + 8_000, 120_000);
    assertAtLeast("workers that reached no controller", 2, unreachable.size());
    assertAtLeast(
        "direct commands executed by workers that reached no controller",
        1,
        cluster.directCommands.executedWithRequestsDropped());
    assertAtLeast(
        "cancellations of jobs with tasks on machines",
        2,
        cluster.checker.cancelledWithRunningTasks());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void delayedDirectCommandsAreExecutedWithoutViolatingInvariants(long seed) {
    startCluster(seed, 8);
    submitJobs(4_000, 110, 600, Priority.HIGH, 1, 15);
    cluster.network.setDelayedCommandShare(0.7);
    cluster.clock.after(80_000, () -> cluster.network.setDelayedCommandShare(0));
    for (int at = FIRST_JOB_MS; at < 70_000; at += 3_000) {
      cluster.clock.after(at, () -> cluster.cloud.workers().forEach(this::delayWorkerOrItsPackets));
    }
    scheduleCancellations(FIRST_JOB_MS + 4_000, 20, 2_500);
    cluster.clock.after(40_000, () -> cluster.crash(Math.max(0, cluster.leader()), 500));
    runAndCheckRules(80_000, 120_000);
    assertAtLeast(
        "direct commands executed after their timeout",
        5,
        cluster.directCommands.executedAfterTimeout());
    assertAtLeast(
        "cancellations of jobs with tasks on machines",
        8,
        cluster.checker.cancelledWithRunningTasks());
  }

  /**
   * In half of the cases makes the worker unresponsive, or holds the packets between it and the
   * leader, for 1.6 to 7.6 s.
   */
  private void delayWorkerOrItsPackets(SimWorker worker) {
    int leader = cluster.leader();
    if (worker.isTerminated() || leader < 0 || random.nextInt(2) > 0) {
      return;
    }
    int durationMs = 1_600 + random.nextInt(6_000);
    if (random.nextBoolean()) {
      worker.hang(durationMs);
    } else {
      cluster.network.holdPackets("n" + leader, worker.host(), true);
      cluster.clock.after(
          durationMs, () -> cluster.network.holdPackets("n" + leader, worker.host(), false));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void staleHeartbeatsAfterNewerOnesViolateNoInvariant(long seed) {
    startCluster(seed, 8);
    cluster.network.setHeartbeatReplay(0.5, false);
    submitJobs(4_000, 60, 1_100, Priority.HIGH, 3, 12);
    int lostAnswersMs = (int) (timing(seed).leaseS() * 1_300);
    int[] interruptedWorkers = {0};
    for (int at = 20_000; at < 70_000; at += 12_000) {
      cluster.clock.after(
          at,
          () -> {
            List<SimWorker> running =
                cluster.cloud.workers().stream().filter(worker -> !worker.isTerminated()).toList();
            if (!running.isEmpty()) {
              SimWorker worker = running.get(random.nextInt(running.size()));
              interruptedWorkers[0]++;
              cluster.network.dropInbound(worker.host(), true);
              cluster.clock.after(
                  lostAnswersMs, () -> cluster.network.dropInbound(worker.host(), false));
            }
          });
    }
    cluster.clock.after(45_000, () -> cluster.crash(Math.max(0, cluster.leader()), 800));
    scheduleCancellations(24_000, 12, 4_000);
    cluster.clock.after(100_000, () -> cluster.network.setHeartbeatReplay(0, false));
    runAndCheckRules(100_000, 220_000);
    assertAtLeast(
        "stale heartbeats that reached a leader", 50, cluster.heartbeatDelivery.replaysToLeader());
    assertAtLeast(
        "workers whose responses were dropped for longer than a lease", 3, interruptedWorkers[0]);
    assertAtLeast(
        "cancellations of jobs with tasks on machines",
        5,
        cluster.checker.cancelledWithRunningTasks());
  }
}
