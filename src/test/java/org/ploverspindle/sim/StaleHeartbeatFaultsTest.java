package org.ploverspindle.sim;

import java.util.List;

/** Reports that arrive late, after or during a change of the leader. */
class StaleHeartbeatFaultsTest extends FaultScenarioTest {
  private enum Combinations implements FaultScenario.Combination {
    STALE_REPORTS_ARRIVE_AS_A_LEADER_TAKES_OVER {
      @Override
      public void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.jobs(3_000, 1_500, 60, 3, 1, 18);
        scenario.at(15_000, () -> cluster.network.setHeartbeatReplay(0.5, true));
        scenario.at(29_000, () -> scenario.note("terms", cluster::termCount));
        for (int i = 0; i < 4; i++) {
          scenario.at(
              30_000 + i * 20_000 + scenario.random.nextInt(4_000),
              () -> scenario.crashLeader(3_000));
        }
        scenario.every(28_000, 100_000, 10_000, () -> cluster.cancelRunning(2, 0));
        scenario.at(110_000, () -> cluster.network.setHeartbeatReplay(0, false));
        scenario.faultsEndMs = 112_000;
        scenario.leaderMustChange(4);
        scenario.mustOccur(
            "old reports came then", () -> cluster.heartbeatDelivery.replaysDelivered() >= 40);
      }
    },

    REPORTS_DELAYED_UNTIL_A_NEW_LEADER_HAS_ACTED {
      @Override
      public void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.jobs(3_000, 1_500, 16, 3, 1, 35);
        scenario.jobs(46_000, 1_000, 40, 2, 1, 30);
        scenario.at(45_000, () -> delayReports(scenario));
        scenario.faultsEndMs = 45_000 + scenario.cancelMs + 30_000;
        scenario.leaderMustChange(1);
        scenario.mustOccur(
            "the new leader had acted",
            () -> scenario.noted("starts") > 0 && scenario.noted("acted") >= 1);
        scenario.mustOccur("held reports arrived", () -> scenario.noted("arrived") >= 3);
      }

      private void delayReports(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        List<SimWorker> busy = scenario.busyWorkers();
        List<SimWorker> some = busy.subList(0, busy.size() / 2 + 1);
        some.forEach(x -> scenario.partition(x, true));
        scenario.note("terms", cluster::termCount);
        cluster.clock.after(
            1_000 + scenario.random.nextInt(3_000), () -> scenario.crashLeader(2_000));
        // While their leases last, and after they ran out and their tasks began elsewhere.
        long lasting = scenario.oddSeed ? 17_000 : scenario.cancelMs + 8_000;
        boolean[] seen = {false};
        scenario.every(
            cluster.clock.nowMs(),
            cluster.clock.nowMs() + lasting,
            100,
            () -> {
              if (!seen[0]
                  && cluster.leader() >= 0
                  && cluster.termCount() > scenario.noted("terms")) {
                seen[0] = true;
                scenario.note("starts", cluster.checker::starts);
              }
            });
        cluster.clock.after(
            lasting + 3_000 + scenario.random.nextInt(4_000),
            () -> {
              scenario.note("acted", () -> cluster.checker.starts() - scenario.noted("starts"));
              some.forEach(x -> scenario.increase("arrived", scenario.partition(x, false)));
            });
      }
    };
  }

  StaleHeartbeatFaultsTest() {
    super(Combinations.values());
  }
}
