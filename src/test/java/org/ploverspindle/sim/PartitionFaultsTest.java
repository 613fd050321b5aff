package org.ploverspindle.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ploverspindle.model.JobSpec;

/**
 * Guards against tasks that run twice and cancellations that come too late when network partitions
 * or lost machines coincide with a change of the leader, so that two controllers may consider
 * themselves leader or workers can't be reached.
 */
class PartitionFaultsTest extends FaultScenarioTest {
  private enum Combinations implements FaultScenario.Combination {
    ZONE_WITH_A_CONTROLLER_PARTITIONED_LONGER_THAN_A_LEASE {
      @Override
      public void schedule(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.submitJobs(3_000, 1_000, 10, 6, 1, 160);
        scenario.at(45_000, () -> partitionLeader(scenario));
        scenario.faultsEndMs = 45_000 + scenario.cancellationMs + 15_000;
        scenario.requireEvidence(
            "tasks ran in the zone", () -> scenario.recorded("workers with tasks") >= 1);
        scenario.requireEvidence(
            "worker epochs ended in the zone", () -> scenario.recorded("ended epochs") >= 1);
        scenario.requireEvidence(
            "a running job was cancelled", () -> cluster.checker.cancelledWithRunningTasks() >= 1);
      }

      private void partitionLeader(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        // With an odd seed the partitioned controller leads, with an even seed another one does.
        int controllerInZone =
            scenario.isOddSeed
                ? Math.max(0, cluster.leader())
                : (cluster.leader() + 1) % FaultScenario.CONTROLLERS;
        List<SimWorker> workersInZone =
            cluster.cloud.workers().stream().filter(worker -> worker.zone().equals("b")).toList();
        WorkerEpochs epochs =
            new WorkerEpochs(
                scenario.busyWorkers().stream().filter(workersInZone::contains).toList());
        scenario.record("workers with tasks", epochs::workerCount);
        List<String> jobsInZone = scenario.runningJobsOn(workersInZone);
        partitionZone(scenario, controllerInZone, workersInZone, true);
        for (int i = 0; i < Math.min(3, jobsInZone.size()); i++) {
          int index = i;
          cluster.clock.after(
              500 + scenario.random.nextInt(6_000), () -> cluster.cancel(jobsInZone.get(index), 0));
        }
        cluster.clock.after(
            // A partitioned leader renews the leases of its workers for as long as it may respond.
            (scenario.isOddSeed ? scenario.cancellationMs : scenario.leaseMs)
                + 6_000
                + scenario.random.nextInt(6_000),
            () -> {
              scenario.record("ended epochs", epochs::expiredCount);
              partitionZone(scenario, controllerInZone, workersInZone, false);
            });
      }
    },

    /**
     * Terminating a machine would end its tasks before they start elsewhere. During the outage of
     * the cloud no machine can be terminated, so that only leases end them.
     */
    ZONE_WITH_THE_LEADER_PARTITIONED_DURING_A_CLOUD_OUTAGE {
      @Override
      public void schedule(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.submitJobs(3_000, 1_000, 6, 4, 1, 160);
        // These jobs end in time to leave room for the restarted tasks of the partitioned zone.
        scenario.submitJobs(3_500, 1_000, 12, 6, 1, 42);
        scenario.at(45_000, () -> partition(scenario));
        scenario.faultsEndMs = 45_000 + scenario.cancellationMs + 15_000;
        scenario.requireLeaderChanges(1);
        scenario.requireEvidence(
            "tasks ran in the zone", () -> scenario.recorded("workers with tasks") >= 1);
        scenario.requireEvidence(
            "worker epochs ended in the zone", () -> scenario.recorded("ended epochs") >= 1);
        scenario.requireEvidence(
            "tasks started after the partition began",
            () -> cluster.checker.starts() > scenario.recorded("starts"));
      }

      private void partition(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        int leader = Math.max(0, cluster.leader());
        List<SimWorker> workersInZone =
            cluster.cloud.workers().stream().filter(worker -> worker.zone().equals("b")).toList();
        WorkerEpochs epochs =
            new WorkerEpochs(
                scenario.busyWorkers().stream().filter(workersInZone::contains).toList());
        scenario.record("terms", cluster::termCount);
        scenario.record("workers with tasks", epochs::workerCount);
        scenario.record("starts", cluster.checker::starts);
        partitionZone(scenario, leader, workersInZone, true);
        cluster.cloud.setOutage(true);
        cluster.clock.after(
            scenario.cancellationMs + 6_000 + scenario.random.nextInt(6_000),
            () -> {
              scenario.record("ended epochs", epochs::expiredCount);
              partitionZone(scenario, leader, workersInZone, false);
              cluster.cloud.setOutage(false);
            });
      }
    },

    LEADER_PARTITIONED_FROM_STATE_AND_PEERS_BUT_NOT_FROM_WORKERS {
      @Override
      public void schedule(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.submitJobs(3_000, 1_000, 14, 3, 1, 250);
        scenario.at(50_000, () -> partitionLeader(scenario));
        scenario.faultsEndMs = 50_000 + scenario.cancellationMs + 22_000;
        scenario.requireEvidence(
            "two controllers led at once", () -> scenario.recorded("two leaders") == 1);
        scenario.requireEvidence(
            "at least four cancellations confirmed by the new leader",
            () -> scenario.recorded("confirmed by the new leader") >= 4);
      }

      private void partitionLeader(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        int oldLeader = Math.max(0, cluster.leader());
        long durationMs = scenario.cancellationMs + 12_000;
        cluster.partitionController(
            oldLeader,
            scenario.isOddSeed
                ? SimulatedCluster.PartitionMode.HOLD_PACKETS
                : SimulatedCluster.PartitionMode.REFUSE_REQUESTS,
            durationMs);
        // Some workers reach the old leader only, so that nothing informs them of the new one.
        List<SimWorker> busy = scenario.busyWorkers();
        List<SimWorker> reachingOldLeaderOnly = busy.subList(0, busy.size() / 2 + 1);
        reachingOldLeaderOnly.forEach(
            worker -> scenario.partitionFromAllBut(worker, oldLeader, true));
        cluster.clock.after(
            durationMs,
            () ->
                reachingOldLeaderOnly.forEach(
                    worker -> scenario.partitionFromAllBut(worker, oldLeader, false)));
        scenario.partitionAllExcept(oldLeader, reachingOldLeaderOnly, durationMs);
        // The cloud outage keeps the new leader from terminating these machines, and prevents the
        // provisioning of a machine that would inform the old leader of the new one.
        cluster.cloud.setOutage(true);
        cluster.clock.after(durationMs, () -> cluster.cloud.setOutage(false));
        List<String> jobs = scenario.runningJobsOn(reachingOldLeaderOnly);
        int[] newLeader = {-1};
        for (long offsetMs = 200; offsetMs < 15_000; offsetMs += 200) {
          cluster.clock.after(
              offsetMs,
              () -> {
                int candidate = nextLeader(cluster, oldLeader);
                if (newLeader[0] < 0 && candidate >= 0) {
                  newLeader[0] = candidate;
                  scenario.record("two leaders", () -> cluster.isLeading(oldLeader) ? 1 : 0);
                  cancelThrough(scenario, candidate, jobs);
                }
              });
        }
      }

      private void cancelThrough(FaultScenario scenario, int controller, List<String> jobs) {
        SimulatedCluster cluster = scenario.cluster;
        int cancelledBefore = cluster.checker.cancelledWithRunningTasks();
        jobs.forEach(
            uid ->
                cluster.clock.after(
                    scenario.random.nextInt(1_500),
                    () -> {
                      cluster.checker.recordCancellationRequest(uid);
                      cluster.cancelAt(controller, uid);
                    }));
        cluster.clock.after(
            3_000,
            () ->
                scenario.record(
                    "confirmed by the new leader",
                    () -> cluster.checker.cancelledWithRunningTasks() - cancelledBefore));
      }

      private int nextLeader(SimulatedCluster cluster, int oldLeader) {
        for (int i = 0; i < FaultScenario.CONTROLLERS; i++) {
          if (i != oldLeader && cluster.isLeading(i)) {
            return i;
          }
        }
        return -1;
      }
    },

    ZONE_BOUND_JOBS_LOSE_MACHINES {
      @Override
      public void schedule(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        List<String> zoneBoundJobs = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
          int index = i;
          scenario.at(3_000 + i * 1_000, () -> zoneBoundJobs.add(submit(scenario, index)));
        }
        scenario.at(40_000, () -> loseMachines(scenario, zoneBoundJobs));
        scenario.at(40_300, () -> scenario.record("terms", cluster::termCount));
        scenario.at(40_500 + scenario.random.nextInt(2_000), () -> scenario.crashLeader(3_000));
        scenario.at(75_000, () -> loseMachines(scenario, zoneBoundJobs));
        scenario.faultsEndMs = 95_000;
        scenario.requireLeaderChanges(1);
        scenario.requireEvidence(
            "at least four losses of a machine by jobs with zone constraints",
            () -> scenario.recorded("lost machines") >= 4);
        scenario.requireEvidence(
            "all jobs with zone constraints are done",
            () -> zoneBoundJobs.stream().allMatch(cluster.checker::isDone));
      }

      private String submit(FaultScenario scenario, int index) {
        JobSpec plain =
            scenario.job(index % 2 == 0 ? "red" : "blue", index % 3 == 0 ? 1 : 5, 1, 45);
        JobSpec spec =
            switch (index % 4) {
              case 0 -> scenario.withZoneConstraints(plain, "a", false, false);
              case 1 -> scenario.withZoneConstraints(plain, "b", true, false);
              case 2 -> scenario.withZoneConstraints(plain, "", true, false);
              default -> scenario.withZoneConstraints(plain, "", false, true);
            };
        scenario.cluster.submitAndPoll(spec);
        return spec.uid();
      }

      /** Half of the machines of these jobs fail or get a spot notice, in turn. */
      private void loseMachines(FaultScenario scenario, List<String> zoneBoundJobs) {
        Set<String> hosts = new HashSet<>();
        zoneBoundJobs.forEach(uid -> hosts.addAll(scenario.cluster.checker.hostsOf(uid)));
        List<SimWorker> hostingJobs =
            scenario.cluster.cloud.workers().stream()
                .filter(worker -> hosts.contains(worker.host()))
                .toList();
        for (int i = 0; i < hostingJobs.size(); i += 2) {
          scenario.increase(
              "lost machines", scenario.runningJobsOn(List.of(hostingJobs.get(i))).size());
          if (i % 4 == 0) {
            scenario.cluster.cloud.fail(hostingJobs.get(i).host());
          } else {
            hostingJobs.get(i).giveSpotNotice();
          }
        }
      }
    },

    LEADER_CRASH_WHILE_WORKERS_ARE_UNREACHABLE_OR_GET_NO_ANSWERS {
      @Override
      public void schedule(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.submitJobs(3_000, 1_000, 8, 1, 4, 250);
        scenario.at(50_000, () -> partitionWorkers(scenario));
        scenario.faultsEndMs = 50_000 + scenario.cancellationMs + 25_000;
        scenario.requireLeaderChanges(1);
        scenario.requireEvidence(
            "at least three workers were unreachable", () -> scenario.recorded("unreachable") >= 3);
        scenario.requireEvidence(
            "at least two workers got no responses",
            () -> scenario.recorded("without responses") >= 2);
        scenario.requireEvidence(
            "tasks started after the partition began",
            () -> cluster.checker.starts() > scenario.recorded("starts"));
      }

      private void partitionWorkers(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        int oldLeader = Math.max(0, cluster.leader());
        List<SimWorker> busy = scenario.busyWorkers();
        List<SimWorker> unreachable = busy.subList(0, busy.size() / 2);
        List<SimWorker> withoutResponses = busy.subList(busy.size() / 2, busy.size() * 3 / 4);
        scenario.record("terms", cluster::termCount);
        scenario.record("starts", cluster.checker::starts);
        scenario.record("unreachable", unreachable::size);
        scenario.record("without responses", withoutResponses::size);
        long durationMs = scenario.cancellationMs + 12_000;
        if (scenario.isOddSeed) {
          // Only the old leader reaches these workers. It responds to them for as long as it may.
          cluster.partitionController(
              oldLeader, SimulatedCluster.PartitionMode.REFUSE_REQUESTS, durationMs);
          unreachable.forEach(worker -> scenario.partitionFromAllBut(worker, oldLeader, true));
          scenario.partitionAllExcept(oldLeader, unreachable, durationMs);
          cluster.clock.after(
              durationMs,
              () ->
                  unreachable.forEach(
                      worker -> scenario.partitionFromAllBut(worker, oldLeader, false)));
        } else {
          unreachable.forEach(worker -> scenario.partition(worker, true));
          cluster.clock.after(
              durationMs, () -> unreachable.forEach(worker -> scenario.partition(worker, false)));
          cluster.clock.after(
              scenario.random.nextInt(1_000), () -> cluster.crash(oldLeader, 2_000));
        }
        cluster.clock.after(
            scenario.random.nextInt(3_000),
            () ->
                withoutResponses.forEach(
                    worker -> cluster.network.dropInbound(worker.host(), true)));
        cluster.clock.after(
            durationMs,
            () ->
                withoutResponses.forEach(
                    worker -> cluster.network.dropInbound(worker.host(), false)));
      }
    };
  }

  PartitionFaultsTest() {
    super(Combinations.values());
  }

  /**
   * Begins or ends a partition in which the zone's workers reach only the given controller, and it
   * reaches neither the state service, the cloud, the other controllers nor any other worker.
   */
  private static void partitionZone(
      FaultScenario scenario, int controllerInZone, List<SimWorker> workersInZone, boolean active) {
    String controller = "n" + controllerInZone;
    scenario.cluster.network.holdPackets(controller, SimulatedCluster.STATE, active);
    scenario.cluster.network.holdPackets(controller, SimulatedCluster.CLOUD, active);
    for (int i = 0; i < FaultScenario.CONTROLLERS; i++) {
      if (i != controllerInZone) {
        scenario.cluster.network.holdPackets(controller, "n" + i, active);
      }
    }
    workersInZone.forEach(worker -> scenario.partitionFromAllBut(worker, controllerInZone, active));
    scenario.cluster.cloud.workers().stream()
        .filter(worker -> !workersInZone.contains(worker))
        .forEach(worker -> scenario.cluster.network.holdPackets(controller, worker.host(), active));
  }
}
