package org.ploverspindle.sim;

import java.util.List;

/**
 * Guards against tasks that are lost or run twice because a leader takes a stale heartbeat for a
 * current one: copies arrive as a leader takes over, or heartbeats are held back until the next
 * leader has started tasks.
 */
class StaleHeartbeatFaultsTest extends FaultScenarioTest {
  private enum Combinations implements FaultScenario.Combination {
    STALE_HEARTBEATS_ARRIVE_AS_A_LEADER_TAKES_OVER {
      @Override
      public void schedule(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.submitJobs(3_000, 1_500, 60, 3, 1, 18);
        scenario.at(15_000, () -> cluster.network.setHeartbeatReplay(0.5, true));
        scenario.at(29_000, () -> scenario.record("terms", cluster::termCount));
        for (int i = 0; i < 4; i++) {
          scenario.at(
              30_000 + i * 20_000 + scenario.random.nextInt(4_000),
              () -> scenario.crashLeader(3_000));
        }
        scenario.repeat(28_000, 100_000, 10_000, () -> cluster.cancelRunning(2, 0));
        scenario.at(110_000, () -> cluster.network.setHeartbeatReplay(0, false));
        scenario.faultsEndMs = 112_000;
        scenario.requireLeaderChanges(4);
        scenario.requireEvidence(
            "at least 40 stale heartbeats were delivered",
            () -> cluster.heartbeatDelivery.replaysDelivered() >= 40);
      }
    },

    HEARTBEATS_DELAYED_UNTIL_A_NEW_LEADER_HAS_ACTED {
      @Override
      public void schedule(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.submitJobs(3_000, 1_500, 16, 3, 1, 35);
        scenario.submitJobs(46_000, 1_000, 40, 2, 1, 30);
        scenario.at(45_000, () -> delayHeartbeats(scenario));
        scenario.faultsEndMs = 45_000 + scenario.cancellationMs + 30_000;
        scenario.requireLeaderChanges(1);
        scenario.requireEvidence(
            "the new leader started tasks before the heartbeats arrived",
            () -> scenario.recorded("starts") > 0 && scenario.recorded("acted") >= 1);
        scenario.requireEvidence(
            "at least three delayed packets arrived", () -> scenario.recorded("arrived") >= 3);
      }

      private void delayHeartbeats(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        List<SimWorker> busy = scenario.busyWorkers();
        List<SimWorker> partitioned = busy.subList(0, busy.size() / 2 + 1);
        partitioned.forEach(worker -> scenario.partition(worker, true));
        scenario.record("terms", cluster::termCount);
        cluster.clock.after(
            1_000 + scenario.random.nextInt(3_000), () -> scenario.crashLeader(2_000));
        // With an odd seed the heartbeats arrive 20 to 24 s after the partition began, with an even
        // seed after the leases have expired and the tasks have started elsewhere.
        long durationMs = scenario.isOddSeed ? 17_000 : scenario.cancellationMs + 8_000;
        boolean[] newLeaderSeen = {false};
        scenario.repeat(
            cluster.clock.nowMs(),
            cluster.clock.nowMs() + durationMs,
            100,
            () -> {
              if (!newLeaderSeen[0]
                  && cluster.leader() >= 0
                  && cluster.termCount() > scenario.recorded("terms")) {
                newLeaderSeen[0] = true;
                scenario.record("starts", cluster.checker::starts);
              }
            });
        cluster.clock.after(
            durationMs + 3_000 + scenario.random.nextInt(4_000),
            () -> {
              scenario.record(
                  "acted", () -> cluster.checker.starts() - scenario.recorded("starts"));
              partitioned.forEach(
                  worker -> scenario.increase("arrived", scenario.partition(worker, false)));
            });
      }
    };
  }

  StaleHeartbeatFaultsTest() {
    super(Combinations.values());
  }
}
