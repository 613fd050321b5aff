package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.ploverspindle.jobs.JobSpec;
import org.ploverspindle.jobs.Shape;
import org.ploverspindle.jobs.Urgency;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;

/**
 * Combinations of faults with a change of the leader, each provoked on purpose, with the timing of
 * every deployment. A scenario in which the combination did not occur fails just as one that broke
 * a rule does.
 */
class LeaderFaultsTest {
  private static final int NODES = 3;
  private static final long RECOVERY_MS = 110_000;

  /** Report, lease and cancellation times of the operators' deployments. */
  private static final Map<String, Settings.WorkerLimits> TIMINGS =
      new LinkedHashMap<>(
          Map.of(
              "Athens", new Settings.WorkerLimits(3, 14, 39),
              "Kosice", new Settings.WorkerLimits(1.5, 10, 40),
              "large Athens", new Settings.WorkerLimits(5, 26.5, 51.5),
              "large Kosice", new Settings.WorkerLimits(5, 26.5, 56.5)));

  /** One simulated day, in which one combination of faults is provoked. */
  private static final class FaultScenario {
    private final SimulatedCluster cluster;
    private final Random random;
    private final boolean oddSeed;
    private final long leaseMs;
    private final long cancelMs;
    private final Map<String, BooleanSupplier> evidence = new LinkedHashMap<>();
    private final Map<String, Long> noted = new HashMap<>();
    private long faultsEndMs;

    FaultScenario(long seed, Settings.WorkerLimits limits, double limit) {
      this.cluster =
          new SimulatedCluster(
              seed,
              new SimulatedCluster.Site(
                  NODES,
                  14,
                  List.of("a", "b"),
                  limits,
                  new Settings.StateLimits(120, 35, 8, 12),
                  new Settings.CloudLimits(20, 3),
                  List.of(
                      new Settings.Team("red", 8, limit, 0, 0),
                      new Settings.Team("blue", 8, limit, 0, 0)),
                  new Policy(3, 8, 15, 0, 100, 20, Map.of())));
      this.random = new Random(seed * 31 + 7);
      this.oddSeed = seed % 2 == 1;
      this.leaseMs = Math.round(limits.leaseS() * 1000);
      this.cancelMs = Math.round(limits.cancelS() * 1000);
    }

    void at(long atMs, Runnable work) {
      cluster.clock.at(atMs - cluster.clock.nowMs(), work);
    }

    /** From then on, again and again until the other time. */
    void every(long fromMs, long untilMs, long periodMs, Runnable work) {
      for (long t = fromMs; t < untilMs; t += periodMs) {
        at(t, work);
      }
    }

    void note(String name, LongSupplier value) {
      noted.put(name, value.getAsLong());
    }

    void increase(String name, long more) {
      noted.merge(name, more, Long::sum);
    }

    long noted(String name) {
      return noted.getOrDefault(name, 0L);
    }

    /** Evidence that the combination of faults occurred; it must hold at the end. */
    void mustOccur(String what, BooleanSupplier proof) {
      evidence.put(what, proof);
    }

    void leaderMustChange(long by) {
      mustOccur("the lead changed", () -> cluster.terms() - noted("terms") >= by);
    }

    JobSpec job(String team, int tasks, double cores, double runS) {
      return new JobSpec(
          cluster.newUid(),
          "class",
          team,
          Shape.BATCH,
          Urgency.NORMAL,
          tasks,
          cores,
          0,
          1,
          cores >= 4 ? Optional.of(List.of("small")) : Optional.empty(),
          Optional.empty(),
          false,
          false,
          true,
          "image",
          0.1,
          runS,
          0,
          0,
          OptionalDouble.empty(),
          List.of());
    }

    JobSpec bound(JobSpec s, String zone, boolean together, boolean apart) {
      return new JobSpec(
          s.uid(),
          s.jobClass(),
          s.team(),
          s.shape(),
          s.urgency(),
          s.tasks(),
          s.cores(),
          0,
          1,
          s.types(),
          zone.isEmpty() ? Optional.empty() : Optional.of(zone),
          together,
          apart,
          true,
          "image",
          0.1,
          s.expectedS(),
          0,
          0,
          OptionalDouble.empty(),
          List.of());
    }

    JobSpec urgent(JobSpec s) {
      return new JobSpec(
          s.uid(),
          "pressing",
          s.team(),
          s.shape(),
          Urgency.HIGH,
          s.tasks(),
          s.cores(),
          0,
          1,
          s.types(),
          Optional.empty(),
          false,
          false,
          true,
          "image",
          0.1,
          s.expectedS(),
          0,
          0,
          OptionalDouble.of(30),
          List.of());
    }

    /** Both teams' jobs, one after another. */
    void jobs(long fromMs, long spacingMs, int count, int tasks, double cores, double runS) {
      for (int i = 0; i < count; i++) {
        String team = i % 2 == 0 ? "red" : "blue";
        at(fromMs + i * spacingMs, () -> cluster.user(job(team, tasks, cores, runS)));
      }
    }

    void crashLeader(long backAfterMs) {
      if (cluster.leader() >= 0) {
        cluster.crash(cluster.leader(), backAfterMs);
        increase("crashes", 1);
      }
    }

    /**
     * The leader is back at once, and every second machine with tasks can't be asked what is there:
     * the next leader has nothing but the records.
     */
    void crashLeaderAndPartitionSomeWorkers() {
      List<SimWorker> busy = busyWorkers();
      for (int i = 0; i < busy.size(); i += 2) {
        SimWorker x = busy.get(i);
        partition(x, true);
        cluster.clock.at(leaseMs, () -> partition(x, false));
      }
      crashLeader(50);
    }

    /** The machines that tasks of running jobs are on, in the order of their jobs. */
    List<SimWorker> busyWorkers() {
      Set<String> hosts = new HashSet<>();
      cluster.checker.running().forEach(uid -> hosts.addAll(cluster.checker.hostsOf(uid)));
      return cluster.cloud.workers().stream().filter(x -> hosts.contains(x.host())).toList();
    }

    /** No controller reaches the machine, nor it any of them; what is sent comes at the end. */
    int partition(SimWorker x, boolean now) {
      int delivered = 0;
      for (int i = 0; i < NODES; i++) {
        delivered += cluster.network.hold("n" + i, x.host(), now);
      }
      return delivered;
    }

    /** Of all controllers the machine reaches that one only. */
    void partitionFromAllBut(SimWorker x, int node, boolean now) {
      for (int i = 0; i < NODES; i++) {
        if (i != node) {
          cluster.network.hold("n" + i, x.host(), now);
        }
      }
    }

    /**
     * All other machines that are up do not reach the controller, and can't tell it of a new one.
     */
    void partitionOthersFrom(int node, List<SimWorker> all, long forMs) {
      List<SimWorker> others =
          cluster.cloud.workers().stream().filter(x -> !all.contains(x)).toList();
      others.forEach(x -> cluster.network.hold("n" + node, x.host(), true));
      cluster.clock.at(
          forMs, () -> others.forEach(x -> cluster.network.hold("n" + node, x.host(), false)));
    }

    /** Running jobs with a task on one of the machines. */
    List<String> jobsOn(List<SimWorker> machines) {
      Set<String> hosts = new HashSet<>();
      machines.forEach(x -> hosts.add(x.host()));
      return cluster.checker.running().stream()
          .filter(uid -> cluster.checker.hostsOf(uid).stream().anyMatch(hosts::contains))
          .toList();
    }
  }

  private enum FaultCombination {
    TEN_LEADER_CHANGES_INCLUDING_ONE_DURING_AN_OUTAGE {
      @Override
      void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.jobs(3_000, 4_000, 30, 4, 1, 25);
        scenario.at(30_000, () -> scenario.note("terms", cluster::terms));
        long[] seen = {0};
        scenario.every(
            30_000,
            150_000,
            1_000,
            () -> {
              boolean nearOutage =
                  cluster.clock.nowMs() >= 73_000 && cluster.clock.nowMs() < 96_000;
              if (!nearOutage && cluster.leader() >= 0 && cluster.terms() > seen[0]) {
                seen[0] = cluster.terms();
                cluster.clock.at(
                    scenario.random.nextInt(1_500),
                    () -> scenario.crashLeader(200 + scenario.random.nextInt(3_000)));
              }
            });
        scenario.every(33_000, 150_000, 9_000, () -> cluster.cancelNow(1, 0));
        scenario.at(80_000, () -> cluster.state.outage(true));
        // Whoever leads by then, or is back by then, ends inside the outage.
        scenario.every(81_000, 94_000, 500, () -> crashDuringOutage(scenario));
        scenario.at(95_000, () -> cluster.state.outage(false));
        scenario.faultsEndMs = 152_000;
        scenario.mustOccur("ten changes", () -> cluster.terms() - scenario.noted("terms") >= 10);
        scenario.mustOccur("one inside the outage", () -> scenario.noted("crashes in outage") >= 1);
        scenario.mustOccur("cancellations", () -> cluster.checker.cancelledWhileOn() >= 3);
      }

      private void crashDuringOutage(FaultScenario scenario) {
        if (scenario.cluster.leader() >= 0) {
          scenario.crashLeader(1_000);
          scenario.increase("crashes in outage", 1);
        }
      }
    },

    TRANSACTIONS_EXECUTED_AFTER_NEWER_ONES {
      @Override
      void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.jobs(3_000, 1_500, 50, 3, 1, 12);
        scenario.at(20_000, () -> cluster.network.lateWrites(0.35, false));
        scenario.at(20_000, () -> scenario.note("terms", cluster::terms));
        scenario.every(25_000, 80_000, 6_000, () -> cluster.cancelNow(1, 0));
        scenario.at(
            45_000 + scenario.random.nextInt(5_000), scenario::crashLeaderAndPartitionSomeWorkers);
        scenario.at(
            65_000 + scenario.random.nextInt(5_000), scenario::crashLeaderAndPartitionSomeWorkers);
        scenario.at(85_000, () -> cluster.network.lateWrites(0, false));
        scenario.faultsEndMs = 100_000;
        scenario.leaderMustChange(1);
        scenario.mustOccur("overtaken transactions", () -> cluster.overtakenWrites() >= 5);
      }
    },

    ZONE_WITH_A_CONTROLLER_PARTITIONED_LONGER_THAN_A_LEASE {
      @Override
      void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.jobs(3_000, 1_000, 10, 6, 1, 160);
        scenario.at(45_000, () -> partitionLeader(scenario));
        scenario.faultsEndMs = 45_000 + scenario.cancelMs + 15_000;
        scenario.mustOccur("tasks in the zone", () -> scenario.noted("busy") >= 1);
        scenario.mustOccur("sessions ended there", () -> scenario.noted("ended") >= 1);
        scenario.mustOccur("cancelled meanwhile", () -> cluster.checker.cancelledWhileOn() >= 1);
      }

      private void partitionLeader(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        // Its controller leads, or another one.
        int inside =
            scenario.oddSeed ? Math.max(0, cluster.leader()) : (cluster.leader() + 1) % NODES;
        List<SimWorker> zone =
            cluster.cloud.workers().stream().filter(x -> x.zone().equals("b")).toList();
        Map<SimWorker, Long> sessions = new HashMap<>();
        scenario.busyWorkers().stream()
            .filter(zone::contains)
            .forEach(x -> sessions.put(x, x.tenure()));
        scenario.note("busy", sessions::size);
        List<String> there = scenario.jobsOn(zone);
        partitionZone(scenario, inside, zone, true);
        for (int i = 0; i < Math.min(3, there.size()); i++) {
          int n = i;
          cluster.clock.at(
              500 + scenario.random.nextInt(6_000), () -> cluster.cancel(there.get(n), 0));
        }
        cluster.clock.at(
            // With the leader inside, its workers keep their leases for as long as it may answer.
            (scenario.oddSeed ? scenario.cancelMs : scenario.leaseMs)
                + 6_000
                + scenario.random.nextInt(6_000),
            () -> {
              scenario.note(
                  "ended",
                  () ->
                      sessions.entrySet().stream()
                          .filter(e -> e.getKey().tenure() > e.getValue())
                          .count());
              partitionZone(scenario, inside, zone, false);
            });
      }

      private void partitionZone(
          FaultScenario scenario, int inside, List<SimWorker> zone, boolean now) {
        String node = "n" + inside;
        scenario.cluster.network.hold(node, SimulatedCluster.STATE, now);
        scenario.cluster.network.hold(node, SimulatedCluster.CLOUD, now);
        for (int i = 0; i < NODES; i++) {
          if (i != inside) {
            scenario.cluster.network.hold(node, "n" + i, now);
          }
        }
        zone.forEach(x -> scenario.partitionFromAllBut(x, inside, now));
        scenario.cluster.cloud.workers().stream()
            .filter(x -> !zone.contains(x))
            .forEach(x -> scenario.cluster.network.hold(node, x.host(), now));
      }
    },

    REPEATED_FAILOVER_THEN_ALL_CRASH_AND_ONE_RESTARTS {
      @Override
      void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.jobs(3_000, 2_500, 30, 4, 1, 30);
        scenario.at(29_000, () -> scenario.note("terms", cluster::terms));
        for (int i = 0; i < 4; i++) {
          scenario.at(
              30_000 + i * 8_000, () -> scenario.crashLeader(150 + scenario.random.nextInt(700)));
        }
        scenario.every(31_000, 90_000, 8_000, () -> cluster.cancelNow(1, 0));
        int first = scenario.random.nextInt(NODES);
        scenario.at(
            66_000,
            () -> {
              for (int i = 0; i < NODES; i++) {
                cluster.crash(
                    i,
                    i == first
                        ? 100 + scenario.random.nextInt(850)
                        : 14_000 + scenario.random.nextInt(3_000));
              }
            });
        scenario.at(
            79_000,
            () ->
                scenario.note(
                    "alone", () -> cluster.leader() == first && aloneAlive(cluster) ? 1 : 0));
        scenario.at(
            95_000,
            () -> {
              for (int i = 0; i < NODES; i++) {
                cluster.crash(i, 50 + scenario.random.nextInt(900));
              }
            });
        scenario.faultsEndMs = 104_000;
        scenario.leaderMustChange(5);
        scenario.mustOccur("one returned and led alone", () -> scenario.noted("alone") == 1);
      }

      private boolean aloneAlive(SimulatedCluster cluster) {
        int alive = 0;
        for (int i = 0; i < NODES; i++) {
          alive += cluster.alive(i) ? 1 : 0;
        }
        return alive == 1;
      }
    },

    LEADER_PARTITIONED_FROM_STATE_AND_PEERS_BUT_NOT_FROM_WORKERS {
      @Override
      void play(FaultScenario scenario) {
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
        cluster.nodeCut(
            old,
            scenario.oddSeed ? SimulatedCluster.CutMode.HOLD : SimulatedCluster.CutMode.REFUSE,
            lasting);
        // Beside, some of the machines have no way to the others: nobody tells them of a new one.
        List<SimWorker> busy = scenario.busyWorkers();
        List<SimWorker> stay = busy.subList(0, busy.size() / 2 + 1);
        stay.forEach(x -> scenario.partitionFromAllBut(x, old, true));
        cluster.clock.at(
            lasting, () -> stay.forEach(x -> scenario.partitionFromAllBut(x, old, false)));
        scenario.partitionOthersFrom(old, stay, lasting);
        // Nor can anybody return them, or rent one that would tell the old leader of the new one.
        cluster.cloud.outage(true);
        cluster.clock.at(lasting, () -> cluster.cloud.outage(false));
        List<String> jobs = scenario.jobsOn(stay);
        int[] others = {-1};
        for (long t = 200; t < 15_000; t += 200) {
          cluster.clock.at(
              t,
              () -> {
                int next = nextLeader(cluster, old);
                if (others[0] < 0 && next >= 0) {
                  others[0] = next;
                  scenario.note("both", () -> cluster.leads(old) ? 1 : 0);
                  int before = cluster.checker.cancelledWhileOn();
                  jobs.forEach(
                      uid ->
                          cluster.clock.at(
                              scenario.random.nextInt(1_500),
                              () -> {
                                cluster.checker.cancelAsked(uid);
                                cluster.cancelAt(next, uid);
                              }));
                  cluster.clock.at(
                      3_000,
                      () ->
                          scenario.note(
                              "told by the new one",
                              () -> cluster.checker.cancelledWhileOn() - before));
                }
              });
        }
      }

      private int nextLeader(SimulatedCluster cluster, int old) {
        for (int i = 0; i < NODES; i++) {
          if (i != old && cluster.leads(i)) {
            return i;
          }
        }
        return -1;
      }
    },

    ZONE_BOUND_JOBS_LOSE_MACHINES {
      @Override
      void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        List<String> bound = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
          int n = i;
          scenario.at(3_000 + i * 1_000, () -> bound.add(submit(scenario, n)));
        }
        scenario.at(40_000, () -> loseMachines(scenario, bound));
        scenario.at(40_300, () -> scenario.note("terms", cluster::terms));
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
        scenario.cluster.user(spec);
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
            scenario.cluster.cloud.die(theirs.get(i).host());
          } else {
            theirs.get(i).recall();
          }
        }
      }
    },

    LEADER_CRASH_WHILE_WORKERS_ARE_UNREACHABLE_OR_GET_NO_ANSWERS {
      @Override
      void play(FaultScenario scenario) {
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
        scenario.note("terms", cluster::terms);
        scenario.note("starts", cluster.checker::starts);
        scenario.note("unreached", unreached::size);
        scenario.note("deaf", deaf::size);
        long lasting = scenario.cancelMs + 12_000;
        if (scenario.oddSeed) {
          // The old leader goes on answering them as long as it may: none but it reaches them.
          cluster.nodeCut(old, SimulatedCluster.CutMode.REFUSE, lasting);
          unreached.forEach(x -> scenario.partitionFromAllBut(x, old, true));
          scenario.partitionOthersFrom(old, unreached, lasting);
          cluster.clock.at(
              lasting, () -> unreached.forEach(x -> scenario.partitionFromAllBut(x, old, false)));
        } else {
          unreached.forEach(x -> scenario.partition(x, true));
          cluster.clock.at(lasting, () -> unreached.forEach(x -> scenario.partition(x, false)));
          cluster.clock.at(scenario.random.nextInt(1_000), () -> cluster.crash(old, 2_000));
        }
        cluster.clock.at(
            scenario.random.nextInt(3_000),
            () -> deaf.forEach(x -> cluster.network.deaf(x.host(), true)));
        cluster.clock.at(lasting, () -> deaf.forEach(x -> cluster.network.deaf(x.host(), false)));
      }
    },

    TEAM_AT_ITS_LIMIT_LEADER_CHANGE_UNREACHABLE_WORKERS_AND_CANCELLATIONS {
      @Override
      void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        for (int i = 0; i < 4; i++) {
          scenario.at(3_000 + i * 300, () -> cluster.user(scenario.job("red", 1, 4, 260)));
        }
        List<String> waiting = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
          scenario.at(
              44_000 + i * 300,
              () -> {
                JobSpec spec = scenario.job("red", 1, 4, 20);
                waiting.add(spec.uid());
                cluster.user(spec);
              });
        }
        scenario.at(50_000, () -> makeUnreachable(scenario));
        scenario.faultsEndMs = 50_000 + scenario.cancelMs + 25_000;
        scenario.leaderMustChange(1);
        scenario.mustOccur("at its limit", () -> scenario.noted("red") == 16);
        scenario.mustOccur("machines that can't be asked", () -> scenario.noted("unasked") >= 2);
        scenario.mustOccur("a cancellation", () -> cluster.checker.cancelledWhileOn() >= 2);
        scenario.mustOccur(
            "its room is used then",
            () -> waiting.stream().anyMatch(u -> cluster.checker.isDone(u)));
      }

      private void makeUnreachable(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.note("red", () -> Math.round(cluster.checker.coresInUse("red")));
        scenario.note("terms", cluster::terms);
        List<SimWorker> busy = scenario.busyWorkers();
        List<SimWorker> cut = busy.subList(0, Math.max(0, busy.size() - 1));
        scenario.note("unasked", cut::size);
        List<String> first = scenario.jobsOn(cut);
        cut.forEach(x -> scenario.partition(x, true));
        long lasting = 4_000 + scenario.random.nextInt((int) scenario.leaseMs + 10_000);
        cluster.clock.at(lasting, () -> cut.forEach(x -> scenario.partition(x, false)));
        cluster.clock.at(scenario.random.nextInt(1_000), () -> scenario.crashLeader(2_000));
        // One of a machine that nobody can ask, one of a machine that answers.
        List<String> other =
            cluster.checker.running().stream().filter(u -> !first.contains(u)).toList();
        first.stream()
            .limit(1)
            .forEach(
                u ->
                    cluster.clock.at(
                        500 + scenario.random.nextInt(7_000), () -> cluster.cancel(u, 0)));
        other.stream()
            .limit(1)
            .forEach(
                u ->
                    cluster.clock.at(
                        500 + scenario.random.nextInt(7_000), () -> cluster.cancel(u, 0)));
      }
    },

    EVERY_TEAM_AT_ITS_LIMIT_CANCELLATIONS_ON_LOST_WORKERS_AND_LEADER_CHANGE {
      @Override
      void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.jobs(3_000, 300, 8, 1, 4, 260);
        scenario.jobs(44_000, 300, 8, 1, 4, 20);
        scenario.at(50_000, () -> cancelOnLostWorkers(scenario));
        scenario.faultsEndMs = 50_000 + scenario.cancelMs + 25_000;
        scenario.leaderMustChange(1);
        scenario.mustOccur(
            "every team at its limit", () -> scenario.noted("red") + scenario.noted("blue") == 32);
        scenario.mustOccur("cancelled", () -> cluster.checker.cancelledWhileOn() >= 4);
        scenario.mustOccur(
            "hung and cut", () -> scenario.noted("hung") >= 2 && scenario.noted("cut") >= 2);
      }

      private void cancelOnLostWorkers(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.note("red", () -> Math.round(cluster.checker.coresInUse("red")));
        scenario.note("blue", () -> Math.round(cluster.checker.coresInUse("blue")));
        scenario.note("terms", cluster::terms);
        List<SimWorker> busy = new ArrayList<>(scenario.busyWorkers());
        Collections.shuffle(busy, scenario.random);
        long lasting = 5_000 + scenario.random.nextInt((int) scenario.cancelMs);
        for (int i = 0; i < Math.min(5, busy.size()); i++) {
          SimWorker x = busy.get(i);
          scenario
              .jobsOn(List.of(x))
              .forEach(
                  u -> cluster.clock.at(scenario.random.nextInt(200), () -> cluster.cancel(u, 0)));
          if (i % 2 == 0) {
            scenario.increase("cut", 1);
            cluster.clock.at(scenario.random.nextInt(200), () -> scenario.partition(x, true));
            cluster.clock.at(lasting, () -> scenario.partition(x, false));
          } else {
            scenario.increase("hung", 1);
            cluster.clock.at(scenario.random.nextInt(200), () -> x.hang(lasting));
          }
        }
        cluster.clock.at(scenario.random.nextInt(3_000), () -> scenario.crashLeader(2_000));
      }
    },

    LEADER_CRASH_RIGHT_AFTER_STARTS_ON_NEW_MACHINES_WITH_DELAYED_WRITES {
      @Override
      void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        cluster.cloud.boots("small", 0.2);
        cluster.cloud.boots("large", 0.2);
        cluster.network.lateWrites(0.45, false);
        scenario.at(1_000, () -> scenario.note("terms", cluster::terms));
        for (int i = 0; i < 3; i++) {
          burst(scenario, 12_000 + i * 25_000, 8 + 20 * i);
        }
        scenario.at(90_000, () -> cluster.network.lateWrites(0, false));
        scenario.faultsEndMs = 95_000;
        scenario.leaderMustChange(2);
        scenario.mustOccur("writes lagged", () -> cluster.overtakenWrites() >= 1);
        scenario.mustOccur("ended right after work began there", () -> scenario.noted("met") >= 2);
      }

      private void burst(FaultScenario scenario, long atMs, int tasks) {
        SimulatedCluster cluster = scenario.cluster;
        Set<String> before = new HashSet<>();
        scenario.at(
            atMs,
            () -> {
              cluster.cloud.workers().forEach(x -> before.add(x.host()));
              cluster.user(scenario.urgent(scenario.job("red", tasks / 2, 2, 30)));
              cluster.user(scenario.urgent(scenario.job("blue", tasks, 2, 30)));
            });
        boolean[] ended = {false};
        scenario.every(
            atMs + 100,
            atMs + 20_000,
            50,
            () -> {
              boolean begun =
                  scenario.busyWorkers().stream().anyMatch(x -> !before.contains(x.host()));
              if (!ended[0] && begun && cluster.leader() >= 0) {
                ended[0] = true;
                scenario.increase("met", 1);
                cluster.clock.at(
                    scenario.random.nextInt(150), scenario::crashLeaderAndPartitionSomeWorkers);
              }
            });
      }
    },

    STALE_REPORTS_ARRIVE_AS_A_LEADER_TAKES_OVER {
      @Override
      void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.jobs(3_000, 1_500, 60, 3, 1, 18);
        scenario.at(15_000, () -> cluster.network.lateReports(0.5, true));
        scenario.at(29_000, () -> scenario.note("terms", cluster::terms));
        for (int i = 0; i < 4; i++) {
          scenario.at(
              30_000 + i * 20_000 + scenario.random.nextInt(4_000),
              () -> scenario.crashLeader(3_000));
        }
        scenario.every(28_000, 100_000, 10_000, () -> cluster.cancelNow(2, 0));
        scenario.at(110_000, () -> cluster.network.lateReports(0, false));
        scenario.faultsEndMs = 112_000;
        scenario.leaderMustChange(4);
        scenario.mustOccur("old reports came then", () -> cluster.copiesDelivered() >= 40);
      }
    },

    REPORTS_DELAYED_UNTIL_A_NEW_LEADER_HAS_ACTED {
      @Override
      void play(FaultScenario scenario) {
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
        scenario.note("terms", cluster::terms);
        cluster.clock.at(1_000 + scenario.random.nextInt(3_000), () -> scenario.crashLeader(2_000));
        // While their leases last, and after they ran out and their tasks began elsewhere.
        long lasting = scenario.oddSeed ? 17_000 : scenario.cancelMs + 8_000;
        boolean[] seen = {false};
        scenario.every(
            cluster.clock.nowMs(),
            cluster.clock.nowMs() + lasting,
            100,
            () -> {
              if (!seen[0] && cluster.leader() >= 0 && cluster.terms() > scenario.noted("terms")) {
                seen[0] = true;
                scenario.note("starts", cluster.checker::starts);
              }
            });
        cluster.clock.at(
            lasting + 3_000 + scenario.random.nextInt(4_000),
            () -> {
              scenario.note("acted", () -> cluster.checker.starts() - scenario.noted("starts"));
              some.forEach(x -> scenario.increase("arrived", scenario.partition(x, false)));
            });
      }
    },

    ALL_CONTROLLERS_DOWN_LONGER_THAN_A_LEASE {
      @Override
      void play(FaultScenario scenario) {
        SimulatedCluster cluster = scenario.cluster;
        scenario.jobs(3_000, 1_000, 14, 3, 1, 120);
        Map<SimWorker, Long> sessions = new HashMap<>();
        long awayMs = scenario.leaseMs + 3_000 + scenario.random.nextInt(9_000);
        scenario.at(44_000, () -> scenario.note("terms", cluster::terms));
        scenario.at(44_000, () -> cluster.cancelNow(3, 0));
        scenario.at(
            45_000,
            () -> {
              scenario.busyWorkers().forEach(x -> sessions.put(x, x.tenure()));
              for (int i = 0; i < NODES; i++) {
                cluster.crash(i, awayMs + scenario.random.nextInt(2_000));
              }
            });
        scenario.at(
            45_000 + awayMs - 100,
            () ->
                scenario.note(
                    "ended",
                    () ->
                        sessions.entrySet().stream()
                            .filter(e -> e.getKey().tenure() > e.getValue())
                            .count()));
        scenario.faultsEndMs = 45_000 + awayMs + 8_000;
        scenario.leaderMustChange(1);
        scenario.mustOccur("sessions ended", () -> scenario.noted("ended") >= 3);
        scenario.mustOccur("cancelled just before", () -> cluster.checker.cancelledWhileOn() >= 1);
      }
    };

    abstract void play(FaultScenario scenario);

    /** Where a team is at its limit there is one; elsewhere it would only be in the way. */
    double limit() {
      return name().contains("AT_ITS_LIMIT") ? 16 : 0;
    }
  }

  static Stream<Arguments> scenarios() {
    List<Arguments> all = new ArrayList<>();
    for (FaultCombination combination : FaultCombination.values()) {
      long seed = 1;
      for (String deployment : TIMINGS.keySet().stream().sorted().toList()) {
        all.add(Arguments.of(combination, deployment, seed++));
      }
    }
    return all.stream();
  }

  @ParameterizedTest(name = "{0}, {1}, seed {2}")
  @MethodSource("scenarios")
  void rulesHoldIn(FaultCombination combination, String deployment, long seed) {
    FaultScenario scenario = new FaultScenario(seed, TIMINGS.get(deployment), combination.limit());
    combination.play(scenario);
    scenario.at(scenario.faultsEndMs, scenario.cluster::troublesAreOver);
    scenario.cluster.clock.runUntil(scenario.faultsEndMs + RECOVERY_MS);
    assertEquals(List.of(), scenario.cluster.checker.broken());
    assertEquals(0, scenario.cluster.checker.neverBegun(), "accepted jobs never began");
    List<String> missing =
        scenario.evidence.entrySet().stream()
            .filter(e -> !e.getValue().getAsBoolean())
            .map(e -> e.getKey() + " " + scenario.noted)
            .toList();
    assertEquals(List.of(), missing, "did not occur");
  }

  static Stream<Arguments> deployments() {
    List<Arguments> all = new ArrayList<>();
    for (String deployment : TIMINGS.keySet().stream().sorted().toList()) {
      for (long seed = 1; seed <= 2; seed++) {
        all.add(Arguments.of(deployment, seed));
      }
    }
    return all.stream();
  }

  /**
   * A machine is cut off just as a task completes there, and its report of that is held back; after
   * its lease the task begins again elsewhere. Then the report arrives, while the second machine
   * can't be asked, and the leader ends: what goes on there is done, and still counts for its team,
   * which is at its limit with more to run.
   */
  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("deployments")
  void anAttemptThatGoesOnAfterItsTaskIsDoneCountsForTheNextLeader(String deployment, long seed) {
    FaultScenario scenario = new FaultScenario(seed, TIMINGS.get(deployment), 16);
    SimulatedCluster cluster = scenario.cluster;
    int tasks = scenario.oddSeed ? 1 : 2;
    JobSpec job = scenario.job("red", tasks, 4, 70);
    scenario.at(3_000, () -> cluster.user(job));
    for (int i = tasks; i < 4; i++) {
      scenario.at(4_000 + i * 300, () -> cluster.user(scenario.job("red", 1, 4, 400)));
    }
    for (int i = 0; i < 4; i++) {
      scenario.at(60_000 + i * 300, () -> cluster.user(scenario.job("red", 1, 4, 50)));
    }
    List<SimWorker> completedOn = new ArrayList<>();
    List<SimWorker> first = new ArrayList<>();
    List<SimWorker> again = new ArrayList<>();
    scenario.every(
        20_000,
        230_000,
        25,
        () -> {
          List<SimWorker> on = machinesOf(cluster, job.uid());
          if (first.isEmpty() && on.size() == tasks) {
            first.addAll(on);
          } else if (completedOn.isEmpty() && !first.isEmpty() && on.size() < tasks) {
            first.removeAll(on);
            completedOn.addAll(first);
            completedOn.forEach(x -> scenario.partition(x, true));
            // Of two tasks the other one begins again as well, so that the job is not yet done.
            on.forEach(x -> cluster.cloud.take(x.host()));
          } else if (again.isEmpty() && !completedOn.isEmpty() && on.size() == tasks) {
            again.addAll(on);
            cluster.clock.at(2_500, () -> deliverDelayedReports(scenario, completedOn, again));
          }
        });
    scenario.at(260_000, cluster::troublesAreOver);
    cluster.clock.runUntil(260_000 + RECOVERY_MS);
    assertEquals(List.of(), cluster.checker.broken());
    assertTrue(scenario.noted("arrived") >= 1, "held reports arrived");
    assertTrue(cluster.terms() > scenario.noted("terms"), "the lead changed");
    assertEquals(16, scenario.noted("red"), "at its limit, with what goes on");
    assertTrue(cluster.checker.isDone(job.uid()));
  }

  private static List<SimWorker> machinesOf(SimulatedCluster cluster, String uid) {
    List<String> hosts = cluster.checker.hostsOf(uid);
    return cluster.cloud.workers().stream().filter(x -> hosts.contains(x.host())).toList();
  }

  private static void deliverDelayedReports(
      FaultScenario scenario, List<SimWorker> completedOn, List<SimWorker> again) {
    again.forEach(x -> scenario.partition(x, true));
    scenario.cluster.clock.at(
        100,
        () -> completedOn.forEach(x -> scenario.increase("arrived", scenario.partition(x, false))));
    scenario.cluster.clock.at(
        1_000,
        () -> {
          scenario.note("red", () -> Math.round(scenario.cluster.checker.coresInUse("red")));
          scenario.note("terms", scenario.cluster::terms);
          scenario.crashLeader(50);
        });
    scenario.cluster.clock.at(
        scenario.leaseMs + 9_000, () -> again.forEach(x -> scenario.partition(x, false)));
  }
}
