package org.ploverspindle.sim;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.model.Priority;

/** Workers whose heartbeats or commands are lost or late, while users submit and cancel. */
class WorkerFaultsTest extends UserFaultsDay {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void workersWithoutHeartbeatsExecuteDirectCommandsAndInvariantsHold(long seed) {
    startCluster(seed, 8);
    jobs(4_000, 75, 1_000, Priority.HIGH, 2, 9);
    // Longer than a lease: they are on those machines until it runs out.
    jobs(4_500, 10, 1_500, Priority.HIGH, 2, 60);
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
    cancellations(24_000, 10, 4_000);
    runAndCheckRules(30_000 + 2 * unreachableMs + 8_000, 120_000);
    assertAtLeast("machines that reached no controller", 2, unreachable.size());
    assertAtLeast(
        "launches that reached them directly",
        1,
        cluster.directCommands.executedWithRequestsDropped());
    assertAtLeast("cancelled while on", 2, cluster.checker.cancelledWhileOn());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void delayedDirectCommandsAreExecutedWithoutViolatingInvariants(long seed) {
    startCluster(seed, 8);
    jobs(4_000, 110, 600, Priority.HIGH, 1, 15);
    cluster.network.setDelayedCommandShare(0.7);
    cluster.clock.after(80_000, () -> cluster.network.setDelayedCommandShare(0));
    for (int at = FROM_MS; at < 70_000; at += 3_000) {
      cluster.clock.after(at, () -> cluster.cloud.workers().forEach(this::delayWorkerOrItsPackets));
    }
    cancellations(FROM_MS + 4_000, 20, 2_500);
    cluster.clock.after(40_000, () -> cluster.crash(Math.max(0, cluster.leader()), 500));
    runAndCheckRules(80_000, 120_000);
    assertAtLeast("launches carried out late", 5, cluster.directCommands.executedAfterTimeout());
    assertAtLeast("cancelled while on", 8, cluster.checker.cancelledWhileOn());
  }

  /** It stands still, or what goes between it and the leader is held back, for some seconds. */
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
    jobs(4_000, 60, 1_100, Priority.HIGH, 3, 12);
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
    cancellations(24_000, 12, 4_000);
    cluster.clock.after(100_000, () -> cluster.network.setHeartbeatReplay(0, false));
    runAndCheckRules(100_000, 220_000);
    assertAtLeast("old reports", 50, cluster.heartbeatDelivery.replaysToLeader());
    assertAtLeast("sessions ended", 3, interruptedWorkers[0]);
    assertAtLeast("cancelled while on", 5, cluster.checker.cancelledWhileOn());
  }
}
