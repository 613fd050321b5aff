package org.ploverspindle.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ploverspindle.model.JobSpec;

/** Partitions and lost machines together with a change of the leader. */
class PartitionFaultsTest extends FaultScenarioTest {
  private enum Combinations implements FaultScenario.Combination {
    ZONE_WITH_A_CONTROLLER_PARTITIONED_LONGER_THAN_A_LEASE {
      @Override
      public void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.jobs(3_000, 1_000, 10, 6, 1, 160);
        scenario.at(45_000, () -> partitionLeader(scenario));
        scenario.faultsEndMs = 45_000 + scenario.cancelMs + 15_000;
        scenario.mustOccur("tasks in the zone", () -> scenario.noted("busy") >= 1);
        scenario.mustOccur("agent epochs ended there", () -> scenario.noted("ended") >= 1);
        scenario.mustOccur("cancelled meanwhile", () -> cluster.checker.cancelledWhileOn() >= 1);
      }

      private void partitionLeader(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        // Its controller leads, or another one.
        int inside =
            scenario.oddSeed
                ? Math.max(0, cluster.leader())
                : (cluster.leader() + 1) % FaultScenario.NODES;
        List<SimWorker> zone =
            cluster.cloud.workers().stream().filter(x -> x.zone().equals("b")).toList();
        AgentEpochs epochs =
            new AgentEpochs(scenario.busyWorkers().stream().filter(zone::contains).toList());
        scenario.note("busy", epochs::workerCount);
        List<String> there = scenario.jobsOn(zone);
        partitionZone(scenario, inside, zone, true);
        for (int i = 0; i < Math.min(3, there.size()); i++) {
          int n = i;
          cluster.clock.after(
              500 + scenario.random.nextInt(6_000), () -> cluster.cancel(there.get(n), 0));
        }
        cluster.clock.after(
            // With the leader inside, its workers keep their leases for as long as it may answer.
            (scenario.oddSeed ? scenario.cancelMs : scenario.leaseMs)
                + 6_000
                + scenario.random.nextInt(6_000),
            () -> {
              scenario.note("ended", epochs::expiredCount);
              partitionZone(scenario, inside, zone, false);
            });
      }
    },

    /** Returned machines end their tasks before others start: here none can be returned. */
    ZONE_WITH_THE_LEADER_PARTITIONED_DURING_A_CLOUD_OUTAGE {
      @Override
      public void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.jobs(3_000, 1_000, 6, 4, 1, 160);
        // Their machines have room again when the tasks of the zone are given up.
        scenario.jobs(3_500, 1_000, 12, 6, 1, 42);
        scenario.at(45_000, () -> partition(scenario));
        scenario.faultsEndMs = 45_000 + scenario.cancelMs + 15_000;
        scenario.leaderMustChange(1);
        scenario.mustOccur("tasks in the zone", () -> scenario.noted("busy") >= 1);
        scenario.mustOccur("agent epochs ended there", () -> scenario.noted("ended") >= 1);
        scenario.mustOccur(
            "started elsewhere", () -> cluster.checker.starts() > scenario.noted("starts"));
      }

      private void partition(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        int leader = Math.max(0, cluster.leader());
        List<SimWorker> zone =
            cluster.cloud.workers().stream().filter(x -> x.zone().equals("b")).toList();
        AgentEpochs epochs =
            new AgentEpochs(scenario.busyWorkers().stream().filter(zone::contains).toList());
        scenario.note("terms", cluster::termCount);
        scenario.note("busy", epochs::workerCount);
        scenario.note("starts", cluster.checker::starts);
        partitionZone(scenario, leader, zone, true);
        cluster.cloud.setOutage(true);
        cluster.clock.after(
            scenario.cancelMs + 6_000 + scenario.random.nextInt(6_000),
            () -> {
              scenario.note("ended", epochs::expiredCount);
              partitionZone(scenario, leader, zone, false);
              cluster.cloud.setOutage(false);
            });
      }
    },

    LEADER_PARTITIONED_FROM_STATE_AND_PEERS_BUT_NOT_FROM_WORKERS {
      @Override
      public void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.jobs(3_000, 1_000, 14, 3, 1, 250);
        scenario.at(50_000, () -> partitionLeader(scenario));
        scenario.faultsEndMs = 50_000 + scenario.cancelMs + 22_000;
        scenario.mustOccur("two led at once", () -> scenario.noted("both") == 1);
        scenario.mustOccur(
            "cancelled through the new one", () -> scenario.noted("told by the new one") >= 4);
      }

      private void partitionLeader(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        int old = Math.max(0, cluster.leader());
        long lasting = scenario.cancelMs + 12_000;
        cluster.partitionController(
            old,
            scenario.oddSeed
                ? SimulatedCluster.PartitionMode.HOLD_PACKETS
                : SimulatedCluster.PartitionMode.REFUSE_REQUESTS,
            lasting);
        // Beside, some of the machines have no way to the others: nobody tells them of a new one.
        List<SimWorker> busy = scenario.busyWorkers();
        List<SimWorker> stay = busy.subList(0, busy.size() / 2 + 1);
        stay.forEach(x -> scenario.partitionFromAllBut(x, old, true));
        cluster.clock.after(
            lasting, () -> stay.forEach(x -> scenario.partitionFromAllBut(x, old, false)));
        scenario.partitionOthersFrom(old, stay, lasting);
        // Nor can anybody return them, or rent one that would tell the old leader of the new one.
        cluster.cloud.setOutage(true);
        cluster.clock.after(lasting, () -> cluster.cloud.setOutage(false));
        List<String> jobs = scenario.jobsOn(stay);
        int[] others = {-1};
        for (long t = 200; t < 15_000; t += 200) {
          cluster.clock.after(
              t,
              () -> {
                int next = nextLeader(cluster, old);
                if (others[0] < 0 && next >= 0) {
                  others[0] = next;
                  scenario.note("both", () -> cluster.isLeading(old) ? 1 : 0);
                  cancelThrough(scenario, next, jobs);
                }
              });
        }
      }

      private void cancelThrough(FaultScenario scenario, int node, List<String> jobs) {
        SimulatedCluster cluster = scenario.cluster;
        int before = cluster.checker.cancelledWhileOn();
        jobs.forEach(
            uid ->
                cluster.clock.after(
                    scenario.random.nextInt(1_500),
                    () -> {
                      cluster.checker.cancelAsked(uid);
                      cluster.cancelAt(node, uid);
                    }));
        cluster.clock.after(
            3_000,
            () ->
                scenario.note(
                    "told by the new one", () -> cluster.checker.cancelledWhileOn() - before));
      }

      private int nextLeader(SimulatedCluster cluster, int old) {
        for (int i = 0; i < FaultScenario.NODES; i++) {
          if (i != old && cluster.isLeading(i)) {
            return i;
          }
        }
        return -1;
      }
    },

    ZONE_BOUND_JOBS_LOSE_MACHINES {
      @Override
      public void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        List<String> bound = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
          int n = i;
          scenario.at(3_000 + i * 1_000, () -> bound.add(submit(scenario, n)));
        }
        scenario.at(40_000, () -> loseMachines(scenario, bound));
        scenario.at(40_300, () -> scenario.note("terms", cluster::termCount));
        scenario.at(40_500 + scenario.random.nextInt(2_000), () -> scenario.crashLeader(3_000));
        scenario.at(75_000, () -> loseMachines(scenario, bound));
        scenario.faultsEndMs = 95_000;
        scenario.leaderMustChange(1);
        scenario.mustOccur("bound jobs lost machines", () -> scenario.noted("lost") >= 4);
        scenario.mustOccur(
            "they ran to their end", () -> bound.stream().allMatch(cluster.checker::isDone));
      }

      private String submit(FaultScenario scenario, int n) {
        JobSpec plain = scenario.job(n % 2 == 0 ? "red" : "blue", n % 3 == 0 ? 1 : 5, 1, 45);
        JobSpec spec =
            switch (n % 4) {
              case 0 -> scenario.bound(plain, "a", false, false);
              case 1 -> scenario.bound(plain, "b", true, false);
              case 2 -> scenario.bound(plain, "", true, false);
              default -> scenario.bound(plain, "", false, true);
            };
        scenario.cluster.submitAndPoll(spec);
        return spec.uid();
      }

      /** Half of their machines: some die, some are taken back with a notice. */
      private void loseMachines(FaultScenario scenario, List<String> bound) {
        Set<String> hosts = new HashSet<>();
        bound.forEach(uid -> hosts.addAll(scenario.cluster.checker.hostsOf(uid)));
        List<SimWorker> theirs =
            scenario.cluster.cloud.workers().stream()
                .filter(x -> hosts.contains(x.host()))
                .toList();
        for (int i = 0; i < theirs.size(); i += 2) {
          scenario.increase("lost", scenario.jobsOn(List.of(theirs.get(i))).size());
          if (i % 4 == 0) {
            scenario.cluster.cloud.fail(theirs.get(i).host());
          } else {
            theirs.get(i).giveSpotNotice();
          }
        }
      }
    },

    LEADER_CRASH_WHILE_WORKERS_ARE_UNREACHABLE_OR_GET_NO_ANSWERS {
      @Override
      public void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.jobs(3_000, 1_000, 8, 1, 4, 250);
        scenario.at(50_000, () -> partitionWorkers(scenario));
        scenario.faultsEndMs = 50_000 + scenario.cancelMs + 25_000;
        scenario.leaderMustChange(1);
        scenario.mustOccur("unreached", () -> scenario.noted("unreached") >= 3);
        scenario.mustOccur("deaf", () -> scenario.noted("deaf") >= 2);
        scenario.mustOccur(
            "begun elsewhere", () -> cluster.checker.starts() > scenario.noted("starts"));
      }

      private void partitionWorkers(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        int old = Math.max(0, cluster.leader());
        List<SimWorker> busy = scenario.busyWorkers();
        List<SimWorker> unreached = busy.subList(0, busy.size() / 2);
        List<SimWorker> deaf = busy.subList(busy.size() / 2, busy.size() * 3 / 4);
        scenario.note("terms", cluster::termCount);
        scenario.note("starts", cluster.checker::starts);
        scenario.note("unreached", unreached::size);
        scenario.note("deaf", deaf::size);
        long lasting = scenario.cancelMs + 12_000;
        if (scenario.oddSeed) {
          // The old leader goes on answering them as long as it may: none but it reaches them.
          cluster.partitionController(old, SimulatedCluster.PartitionMode.REFUSE_REQUESTS, lasting);
          unreached.forEach(x -> scenario.partitionFromAllBut(x, old, true));
          scenario.partitionOthersFrom(old, unreached, lasting);
          cluster.clock.after(
              lasting, () -> unreached.forEach(x -> scenario.partitionFromAllBut(x, old, false)));
        } else {
          unreached.forEach(x -> scenario.partition(x, true));
          cluster.clock.after(lasting, () -> unreached.forEach(x -> scenario.partition(x, false)));
          cluster.clock.after(scenario.random.nextInt(1_000), () -> cluster.crash(old, 2_000));
        }
        cluster.clock.after(
            scenario.random.nextInt(3_000),
            () -> deaf.forEach(x -> cluster.network.dropInbound(x.host(), true)));
        cluster.clock.after(
            lasting, () -> deaf.forEach(x -> cluster.network.dropInbound(x.host(), false)));
      }
    };
  }

  PartitionFaultsTest() {
    super(Combinations.values());
  }

  /** The zone's workers reach that controller only, and nothing else reaches it. */
  private static void partitionZone(
      FaultScenario scenario, int inside, List<SimWorker> zone, boolean now) {
    String node = "n" + inside;
    scenario.cluster.network.holdPackets(node, SimulatedCluster.STATE, now);
    scenario.cluster.network.holdPackets(node, SimulatedCluster.CLOUD, now);
    for (int i = 0; i < FaultScenario.NODES; i++) {
      if (i != inside) {
        scenario.cluster.network.holdPackets(node, "n" + i, now);
      }
    }
    zone.forEach(x -> scenario.partitionFromAllBut(x, inside, now));
    scenario.cluster.cloud.workers().stream()
        .filter(x -> !zone.contains(x))
        .forEach(x -> scenario.cluster.network.holdPackets(node, x.host(), now));
  }
}
