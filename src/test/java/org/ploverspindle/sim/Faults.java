package org.ploverspindle.sim;

import java.util.List;
import java.util.Random;

/** The troubles that a day may hold, each for a while; two of them may meet. */
enum Faults {
  CONTROLLER_CRASH {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.crash(randomControllerFavoringLeader(cluster, random), 100 + random.nextInt(4_000));
    }
  },
  ALL_CONTROLLERS_CRASH {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      for (int i = 0; i < cluster.controllerCount; i++) {
        cluster.crash(i, 100 + random.nextInt((int) durationMs));
      }
    }
  },
  CONTROLLER_PAUSE {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.freeze(randomControllerFavoringLeader(cluster, random), durationMs);
    }
  },
  STATE_OUTAGE {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.state.setOutage(true);
      cluster.clock.after(durationMs, () -> cluster.state.setOutage(false));
    }
  },
  CLOUD_OUTAGE {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.cloud.setOutage(true);
      cluster.clock.after(durationMs, () -> cluster.cloud.setOutage(false));
    }
  },
  DELAYED_REQUESTS {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.network.setLateRequestShare(0.05 + random.nextDouble() * 0.2);
      cluster.clock.after(durationMs, () -> cluster.network.setLateRequestShare(0));
    }
  },
  WORKERS_PARTITIONED {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
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
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      randomWorkers(cluster, random).forEach(worker -> cluster.cloud.fail(worker.host()));
    }
  },
  SPOT_NOTICES {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      randomWorkers(cluster, random).forEach(SimWorker::giveSpotNotice);
    }
  },
  UNRESPONSIVE_WORKERS {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      randomWorkers(cluster, random).forEach(worker -> worker.hang(durationMs));
    }
  },
  MESSAGES_TO_WORKERS_DROPPED {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      for (SimWorker worker : randomWorkers(cluster, random)) {
        cluster.network.dropInbound(worker.host(), true);
        cluster.clock.after(durationMs, () -> cluster.network.dropInbound(worker.host(), false));
      }
    }
  },
  WORKER_REQUESTS_DROPPED {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      for (SimWorker worker : randomWorkers(cluster, random)) {
        cluster.network.dropRequestsFrom(worker.host(), true);
        cluster.clock.after(
            durationMs, () -> cluster.network.dropRequestsFrom(worker.host(), false));
      }
    }
  },
  UNANSWERED_TRANSACTIONS_DELAYED {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      leaveTransactionsUnanswered(cluster, 0.05 + random.nextDouble() * 0.4, false, durationMs);
    }
  },
  UNANSWERED_TRANSACTIONS_EXECUTED {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      leaveTransactionsUnanswered(cluster, 0.05 + random.nextDouble() * 0.4, true, durationMs);
    }
  },
  STALE_HEARTBEATS {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      replayHeartbeats(cluster, 0.1 + random.nextDouble() * 0.5, false, durationMs);
    }
  },
  STALE_HEARTBEATS_FOR_NEXT_LEADER {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      replayHeartbeats(cluster, 0.1 + random.nextDouble() * 0.5, true, durationMs);
      // Without a next leader there is nothing to it.
      cluster.clock.after(
          durationMs / 2,
          () ->
              cluster.crash(
                  randomControllerFavoringLeader(cluster, random), 100 + random.nextInt(3_000)));
    }
  },
  CONTROLLER_PARTITIONED_PACKETS_HELD {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.partitionController(
          randomControllerFavoringLeader(cluster, random),
          SimulatedCluster.PartitionMode.HOLD_PACKETS,
          durationMs);
    }
  },
  CONTROLLER_PARTITIONED_REQUESTS_REFUSED {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.partitionController(
          randomControllerFavoringLeader(cluster, random),
          SimulatedCluster.PartitionMode.REFUSE_REQUESTS,
          durationMs);
    }
  },
  CANCELLATIONS {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.cancelRunning(1 + random.nextInt(6), random.nextBoolean() ? 0 : durationMs);
    }
  },
  CANCELLATIONS_AT_COMPLETION {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.setCancelAtEndShare(0.5);
      cluster.clock.after(durationMs, () -> cluster.setCancelAtEndShare(0));
    }
  },
  INVALID_REQUESTS {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.setInvalidRequests(true);
      cluster.clock.after(durationMs, () -> cluster.setInvalidRequests(false));
    }
  },
  REQUEST_BURSTS {
    @Override
    void begin(SimulatedCluster cluster, Random random, long durationMs) {
      cluster.setRequestBursts(true);
      cluster.clock.after(durationMs, () -> cluster.setRequestBursts(false));
    }
  };

  /** Begins at once, and ends by itself within the time, but for what it does to processes. */
  abstract void begin(SimulatedCluster cluster, Random random, long durationMs);

  /** Mostly the leader: with another one there is little to it. */
  private static int randomControllerFavoringLeader(SimulatedCluster cluster, Random random) {
    int leader = cluster.leader();
    return leader >= 0 && random.nextInt(4) > 0 ? leader : random.nextInt(cluster.controllerCount);
  }

  /** One machine, or about half of them. */
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
