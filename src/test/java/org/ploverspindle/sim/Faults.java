package org.ploverspindle.sim;

import java.util.List;
import java.util.Random;

/** Faults that a simulated day may inject, each for a limited time. Two of them may overlap. */
enum Faults {
  CONTROLLER_CRASH {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.crash(randomControllerFavoringLeader(cluster, random), 100 + random.nextInt(4_000));
    }
  },
  ALL_CONTROLLERS_CRASH {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      for (int i = 0; i < cluster.controllerCount; i++) {
        cluster.crash(i, 100 + random.nextInt((int) durationMs));
      }
    }
  },
  CONTROLLER_PAUSE {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.freeze(randomControllerFavoringLeader(cluster, random), durationMs);
    }
  },
  STATE_OUTAGE {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.state.setOutage(true);
      cluster.clock.after(durationMs, () -> cluster.state.setOutage(false));
    }
  },
  CLOUD_OUTAGE {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.cloud.setOutage(true);
      cluster.clock.after(durationMs, () -> cluster.cloud.setOutage(false));
    }
  },
  DELAYED_REQUESTS {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.network.setLateRequestShare(0.05 + random.nextDouble() * 0.2);
      cluster.clock.after(durationMs, () -> cluster.network.setLateRequestShare(0));
    }
  },
  WORKERS_PARTITIONED {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      for (SimWorker worker : randomWorkers(cluster, random)) {
        for (int i = 0; i < cluster.controllerCount; i++) {
          String controller = "n" + i;
          cluster.network.holdPackets(controller, worker.host(), true);
          cluster.clock.after(
              durationMs, () -> cluster.network.holdPackets(controller, worker.host(), false));
        }
      }
    }
  },
  MACHINE_FAILURES {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      randomWorkers(cluster, random).forEach(worker -> cluster.cloud.fail(worker.host()));
    }
  },
  SPOT_NOTICES {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      randomWorkers(cluster, random).forEach(SimWorker::giveSpotNotice);
    }
  },
  UNRESPONSIVE_WORKERS {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      randomWorkers(cluster, random).forEach(worker -> worker.hang(durationMs));
    }
  },
  MESSAGES_TO_WORKERS_DROPPED {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      for (SimWorker worker : randomWorkers(cluster, random)) {
        cluster.network.dropInbound(worker.host(), true);
        cluster.clock.after(durationMs, () -> cluster.network.dropInbound(worker.host(), false));
      }
    }
  },
  WORKER_REQUESTS_DROPPED {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      for (SimWorker worker : randomWorkers(cluster, random)) {
        cluster.network.dropRequestsFrom(worker.host(), true);
        cluster.clock.after(
            durationMs, () -> cluster.network.dropRequestsFrom(worker.host(), false));
      }
    }
  },
  UNANSWERED_TRANSACTIONS_DELAYED {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      leaveTransactionsUnanswered(cluster, 0.05 + random.nextDouble() * 0.4, false, durationMs);
    }
  },
  UNANSWERED_TRANSACTIONS_EXECUTED {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      leaveTransactionsUnanswered(cluster, 0.05 + random.nextDouble() * 0.4, true, durationMs);
    }
  },
  STALE_HEARTBEATS {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      replayHeartbeats(cluster, 0.1 + random.nextDouble() * 0.5, false, durationMs);
    }
  },
  STALE_HEARTBEATS_FOR_NEXT_LEADER {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      replayHeartbeats(cluster, 0.1 + random.nextDouble() * 0.5, true, durationMs);
      // The copies arrive only when another controller takes over, so the leader has to crash.
      cluster.clock.after(
          durationMs / 2,
          () ->
              cluster.crash(
                  randomControllerFavoringLeader(cluster, random), 100 + random.nextInt(3_000)));
    }
  },
  CONTROLLER_PARTITIONED_PACKETS_HELD {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.partitionController(
          randomControllerFavoringLeader(cluster, random),
          SimulatedCluster.PartitionMode.HOLD_PACKETS,
          durationMs);
    }
  },
  CONTROLLER_PARTITIONED_REQUESTS_REFUSED {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.partitionController(
          randomControllerFavoringLeader(cluster, random),
          SimulatedCluster.PartitionMode.REFUSE_REQUESTS,
          durationMs);
    }
  },
  CANCELLATIONS {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.cancelRunning(1 + random.nextInt(6), random.nextBoolean() ? 0 : durationMs);
    }
  },
  CANCELLATIONS_AT_COMPLETION {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.setCancelAtCompletionShare(0.5);
      cluster.clock.after(durationMs, () -> cluster.setCancelAtCompletionShare(0));
    }
  },
  INVALID_REQUESTS {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.setInvalidRequests(true);
      cluster.clock.after(durationMs, () -> cluster.setInvalidRequests(false));
    }
  },
  REQUEST_BURSTS {
    @Override
    void inject(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.setRequestBursts(true);
      cluster.clock.after(durationMs, () -> cluster.setRequestBursts(false));
    }
  };

  /**
   * Injects the fault now and ends it after {@code durationMs}. Crashed controllers, failed
   * machines and machines with a spot notice don't recover when it ends.
   */
  abstract void inject(SimulatedCluster cluster, Random random, long durationMs);

  /**
   * Picks the leader in three of four cases and otherwise any controller, as a fault of a
   * controller that does not lead has little effect. Without a leader it picks any controller.
   */
  private static int randomControllerFavoringLeader(SimulatedCluster cluster, Random random) {
    int leader = cluster.leader();
    return leader >= 0 && random.nextInt(4) > 0 ? leader : random.nextInt(cluster.controllerCount);
  }

  /**
   * Returns one worker whose machine is not terminated, or, as often, about half of them. The list
   * is empty if there are none.
   */
  private static List<SimWorker> randomWorkers(SimulatedCluster cluster, Random random) {
    List<SimWorker> running =
        cluster.cloud.workers().stream().filter(worker -> !worker.isTerminated()).toList();
    if (running.isEmpty()) {
      return running;
    }
    return random.nextBoolean()
        ? List.of(running.get(random.nextInt(running.size())))
        : running.stream().filter(worker -> random.nextBoolean()).toList();
  }

  private static void leaveTransactionsUnanswered(
      SimulatedCluster cluster, double share, boolean immediate, long durationMs) {
    cluster.network.setUnansweredWrites(share, immediate);
    cluster.clock.after(durationMs, () -> cluster.network.setUnansweredWrites(0, false));
  }

  private static void replayHeartbeats(
      SimulatedCluster cluster, double share, boolean atNextTerm, long durationMs) {
    cluster.network.setHeartbeatReplay(share, atNextTerm);
    cluster.clock.after(durationMs, () -> cluster.network.setHeartbeatReplay(0, false));
  }
}
