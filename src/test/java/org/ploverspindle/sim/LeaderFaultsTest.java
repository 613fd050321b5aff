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
 * Meetings of troubles with a change of the leader, each brought about on purpose, at the times of
 * every deployment. A day in which the meeting did not come about fails as much as one that broke a
 * rule.
 */
class LeaderFaultsTest {
  private static final int NODES = 3;
  private static final long AFTERWARDS_MS = 110_000;

  /** Report, lease and cancellation times of the operators' deployments. */
  private static final Map<String, Settings.WorkerLimits> TIMINGS =
      new LinkedHashMap<>(
          Map.of(
              "Athens", new Settings.WorkerLimits(3, 14, 39),
              "Kosice", new Settings.WorkerLimits(1.5, 10, 40),
              "large Athens", new Settings.WorkerLimits(5, 26.5, 51.5),
              "large Kosice", new Settings.WorkerLimits(5, 26.5, 56.5)));

  /** One day, in which one meeting comes about. */
  private static final class Day {
    private final SimulatedCluster w;
    private final Random r;
    private final boolean odd;
    private final long leaseMs;
    private final long cancelMs;
    private final Map<String, BooleanSupplier> evidence = new LinkedHashMap<>();
    private final Map<String, Long> noted = new HashMap<>();
    private long overMs;

    Day(long seed, Settings.WorkerLimits limits, double limit) {
      this.w =
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
      this.r = new Random(seed * 31 + 7);
      this.odd = seed % 2 == 1;
      this.leaseMs = Math.round(limits.leaseS() * 1000);
      this.cancelMs = Math.round(limits.cancelS() * 1000);
    }

    void at(long atMs, Runnable work) {
      w.clock.at(atMs - w.clock.nowMs(), work);
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

    void noteMore(String name, long more) {
      noted.merge(name, more, Long::sum);
    }

    long noted(String name) {
      return noted.getOrDefault(name, 0L);
    }

    /** Unless this holds at the end, the meeting did not come about. */
    void cameAbout(String what, BooleanSupplier proof) {
      evidence.put(what, proof);
    }

    void termsRose(long by) {
      cameAbout("the lead changed", () -> w.terms() - noted("terms") >= by);
    }

    JobSpec job(String team, int tasks, double cores, double runS) {
      return new JobSpec(
          w.newUid(),
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

    JobSpec pressing(JobSpec s) {
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
        at(fromMs + i * spacingMs, () -> w.user(job(team, tasks, cores, runS)));
      }
    }

    void crashLeader(long backAfterMs) {
      if (w.leader() >= 0) {
        w.crash(w.leader(), backAfterMs);
        noteMore("crashes", 1);
      }
    }

    /**
     * The leader is back at once, and every second machine with tasks can't be asked what is there:
     * the next leader has nothing but the records.
     */
    void crashLeaderAndCutSome() {
      List<SimWorker> busy = busy();
      for (int i = 0; i < busy.size(); i += 2) {
        SimWorker x = busy.get(i);
        cutOff(x, true);
        w.clock.at(leaseMs, () -> cutOff(x, false));
      }
      crashLeader(50);
    }

    /** The machines that tasks of running jobs are on, in the order of their jobs. */
    List<SimWorker> busy() {
      Set<String> hosts = new HashSet<>();
      w.checker.running().forEach(uid -> hosts.addAll(w.checker.hostsOf(uid)));
      return w.cloud.workers().stream().filter(x -> hosts.contains(x.host())).toList();
    }

    /** No controller reaches the machine, nor it any of them; what is sent comes at the end. */
    int cutOff(SimWorker x, boolean now) {
      int delivered = 0;
      for (int i = 0; i < NODES; i++) {
        delivered += w.network.hold("n" + i, x.host(), now);
      }
      return delivered;
    }

    /** Of all controllers the machine reaches that one only. */
    void reachesOnly(SimWorker x, int node, boolean now) {
      for (int i = 0; i < NODES; i++) {
        if (i != node) {
          w.network.hold("n" + i, x.host(), now);
        }
      }
    }

    /**
     * All other machines that are up do not reach the controller, and can't tell it of a new one.
     */
    void keepFrom(int node, List<SimWorker> all, long forMs) {
      List<SimWorker> others = w.cloud.workers().stream().filter(x -> !all.contains(x)).toList();
      others.forEach(x -> w.network.hold("n" + node, x.host(), true));
      w.clock.at(forMs, () -> others.forEach(x -> w.network.hold("n" + node, x.host(), false)));
    }

    /** Running jobs with a task on one of the machines. */
    List<String> jobsOn(List<SimWorker> machines) {
      Set<String> hosts = new HashSet<>();
      machines.forEach(x -> hosts.add(x.host()));
      return w.checker.running().stream()
          .filter(uid -> w.checker.hostsOf(uid).stream().anyMatch(hosts::contains))
          .toList();
    }
  }

  private enum Meeting {
    LEADERS_CHANGE_TEN_TIMES_ALSO_IN_AN_OUTAGE {
      @Override
      void play(Day d) {
        SimulatedCluster w = d.w;
        d.jobs(3_000, 4_000, 30, 4, 1, 25);
        d.at(30_000, () -> d.note("terms", w::terms));
        long[] seen = {0};
        d.every(
            30_000,
            150_000,
            1_000,
            () -> {
              boolean nearOutage = w.clock.nowMs() >= 73_000 && w.clock.nowMs() < 96_000;
              if (!nearOutage && w.leader() >= 0 && w.terms() > seen[0]) {
                seen[0] = w.terms();
                w.clock.at(d.r.nextInt(1_500), () -> d.crashLeader(200 + d.r.nextInt(3_000)));
              }
            });
        d.every(33_000, 150_000, 9_000, () -> w.cancelNow(1, 0));
        d.at(80_000, () -> w.state.outage(true));
        // Whoever leads by then, or is back by then, ends inside the outage.
        d.every(81_000, 94_000, 500, () -> inOutage(d));
        d.at(95_000, () -> w.state.outage(false));
        d.overMs = 152_000;
        d.cameAbout("ten changes", () -> w.terms() - d.noted("terms") >= 10);
        d.cameAbout("one inside the outage", () -> d.noted("crashes in outage") >= 1);
        d.cameAbout("cancellations", () -> w.checker.cancelledWhileOn() >= 3);
      }

      private void inOutage(Day d) {
        if (d.w.leader() >= 0) {
          d.crashLeader(1_000);
          d.noteMore("crashes in outage", 1);
        }
      }
    },

    A_TRANSACTION_IS_CARRIED_OUT_AFTER_NEWER_ONES {
      @Override
      void play(Day d) {
        SimulatedCluster w = d.w;
        d.jobs(3_000, 1_500, 50, 3, 1, 12);
        d.at(20_000, () -> w.network.lateWrites(0.35, false));
        d.at(20_000, () -> d.note("terms", w::terms));
        d.every(25_000, 80_000, 6_000, () -> w.cancelNow(1, 0));
        d.at(45_000 + d.r.nextInt(5_000), d::crashLeaderAndCutSome);
        d.at(65_000 + d.r.nextInt(5_000), d::crashLeaderAndCutSome);
        d.at(85_000, () -> w.network.lateWrites(0, false));
        d.overMs = 100_000;
        d.termsRose(1);
        d.cameAbout("overtaken transactions", () -> w.overtakenWrites() >= 5);
      }
    },

    A_ZONE_WITH_A_CONTROLLER_IS_CUT_OFF_LONGER_THAN_A_LEASE {
      @Override
      void play(Day d) {
        SimulatedCluster w = d.w;
        d.jobs(3_000, 1_000, 10, 6, 1, 160);
        d.at(45_000, () -> cut(d));
        d.overMs = 45_000 + d.cancelMs + 15_000;
        d.cameAbout("tasks in the zone", () -> d.noted("busy") >= 1);
        d.cameAbout("sessions ended there", () -> d.noted("ended") >= 1);
        d.cameAbout("cancelled meanwhile", () -> w.checker.cancelledWhileOn() >= 1);
      }

      private void cut(Day d) {
        SimulatedCluster w = d.w;
        // Its controller leads, or another one.
        int inside = d.odd ? Math.max(0, w.leader()) : (w.leader() + 1) % NODES;
        List<SimWorker> zone =
            w.cloud.workers().stream().filter(x -> x.zone().equals("b")).toList();
        Map<SimWorker, Long> sessions = new HashMap<>();
        d.busy().stream().filter(zone::contains).forEach(x -> sessions.put(x, x.tenure()));
        d.note("busy", sessions::size);
        List<String> there = d.jobsOn(zone);
        separate(d, inside, zone, true);
        for (int i = 0; i < Math.min(3, there.size()); i++) {
          int n = i;
          w.clock.at(500 + d.r.nextInt(6_000), () -> w.cancel(there.get(n), 0));
        }
        w.clock.at(
            // With the leader inside, its workers keep their leases for as long as it may answer.
            (d.odd ? d.cancelMs : d.leaseMs) + 6_000 + d.r.nextInt(6_000),
            () -> {
              d.note(
                  "ended",
                  () ->
                      sessions.entrySet().stream()
                          .filter(e -> e.getKey().tenure() > e.getValue())
                          .count());
              separate(d, inside, zone, false);
            });
      }

      private void separate(Day d, int inside, List<SimWorker> zone, boolean now) {
        String node = "n" + inside;
        d.w.network.hold(node, SimulatedCluster.STATE, now);
        d.w.network.hold(node, SimulatedCluster.CLOUD, now);
        for (int i = 0; i < NODES; i++) {
          if (i != inside) {
            d.w.network.hold(node, "n" + i, now);
          }
        }
        zone.forEach(x -> d.reachesOnly(x, inside, now));
        d.w.cloud.workers().stream()
            .filter(x -> !zone.contains(x))
            .forEach(x -> d.w.network.hold(node, x.host(), now));
      }
    },

    CONTROLLERS_HAND_OVER_AND_BACK_ALL_END_AND_ONE_RETURNS {
      @Override
      void play(Day d) {
        SimulatedCluster w = d.w;
        d.jobs(3_000, 2_500, 30, 4, 1, 30);
        d.at(29_000, () -> d.note("terms", w::terms));
        for (int i = 0; i < 4; i++) {
          d.at(30_000 + i * 8_000, () -> d.crashLeader(150 + d.r.nextInt(700)));
        }
        d.every(31_000, 90_000, 8_000, () -> w.cancelNow(1, 0));
        int first = d.r.nextInt(NODES);
        d.at(
            66_000,
            () -> {
              for (int i = 0; i < NODES; i++) {
                w.crash(i, i == first ? 100 + d.r.nextInt(850) : 14_000 + d.r.nextInt(3_000));
              }
            });
        d.at(79_000, () -> d.note("alone", () -> w.leader() == first && aloneAlive(w) ? 1 : 0));
        d.at(
            95_000,
            () -> {
              for (int i = 0; i < NODES; i++) {
                w.crash(i, 50 + d.r.nextInt(900));
              }
            });
        d.overMs = 104_000;
        d.termsRose(5);
        d.cameAbout("one returned and led alone", () -> d.noted("alone") == 1);
      }

      private boolean aloneAlive(SimulatedCluster w) {
        int alive = 0;
        for (int i = 0; i < NODES; i++) {
          alive += w.alive(i) ? 1 : 0;
        }
        return alive == 1;
      }
    },

    A_LEADER_IS_CUT_FROM_STATE_AND_OTHERS_BUT_NOT_FROM_WORKERS_OR_USERS {
      @Override
      void play(Day d) {
        SimulatedCluster w = d.w;
        d.jobs(3_000, 1_000, 14, 3, 1, 250);
        d.at(50_000, () -> cut(d));
        d.overMs = 50_000 + d.cancelMs + 22_000;
        d.cameAbout("two led at once", () -> d.noted("both") == 1);
        d.cameAbout("cancelled through the new one", () -> d.noted("told by the new one") >= 4);
      }

      private void cut(Day d) {
        SimulatedCluster w = d.w;
        int old = Math.max(0, w.leader());
        long lasting = d.cancelMs + 12_000;
        w.nodeCut(
            old, d.odd ? SimulatedCluster.CutMode.HOLD : SimulatedCluster.CutMode.REFUSE, lasting);
        // Beside, some of the machines have no way to the others: nobody tells them of a new one.
        List<SimWorker> busy = d.busy();
        List<SimWorker> stay = busy.subList(0, busy.size() / 2 + 1);
        stay.forEach(x -> d.reachesOnly(x, old, true));
        w.clock.at(lasting, () -> stay.forEach(x -> d.reachesOnly(x, old, false)));
        d.keepFrom(old, stay, lasting);
        // Nor can anybody return them, or rent one that would tell the old leader of the new one.
        w.cloud.outage(true);
        w.clock.at(lasting, () -> w.cloud.outage(false));
        List<String> jobs = d.jobsOn(stay);
        int[] others = {-1};
        for (long t = 200; t < 15_000; t += 200) {
          w.clock.at(
              t,
              () -> {
                int next = nextLeader(w, old);
                if (others[0] < 0 && next >= 0) {
                  others[0] = next;
                  d.note("both", () -> w.leads(old) ? 1 : 0);
                  int before = w.checker.cancelledWhileOn();
                  jobs.forEach(
                      uid ->
                          w.clock.at(
                              d.r.nextInt(1_500),
                              () -> {
                                w.checker.cancelAsked(uid);
                                w.cancelAt(next, uid);
                              }));
                  w.clock.at(
                      3_000,
                      () ->
                          d.note(
                              "told by the new one", () -> w.checker.cancelledWhileOn() - before));
                }
              });
        }
      }

      private int nextLeader(SimulatedCluster w, int old) {
        for (int i = 0; i < NODES; i++) {
          if (i != old && w.leads(i)) {
            return i;
          }
        }
        return -1;
      }
    },

    JOBS_BOUND_TO_A_ZONE_LOSE_MACHINES {
      @Override
      void play(Day d) {
        SimulatedCluster w = d.w;
        List<String> bound = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
          int n = i;
          d.at(3_000 + i * 1_000, () -> bound.add(submit(d, n)));
        }
        d.at(40_000, () -> lose(d, bound));
        d.at(40_300, () -> d.note("terms", w::terms));
        d.at(40_500 + d.r.nextInt(2_000), () -> d.crashLeader(3_000));
        d.at(75_000, () -> lose(d, bound));
        d.overMs = 95_000;
        d.termsRose(1);
        d.cameAbout("bound jobs lost machines", () -> d.noted("lost") >= 4);
        d.cameAbout("they ran to their end", () -> bound.stream().allMatch(w.checker::isDone));
      }

      private String submit(Day d, int n) {
        JobSpec plain = d.job(n % 2 == 0 ? "red" : "blue", n % 3 == 0 ? 1 : 5, 1, 45);
        JobSpec spec =
            switch (n % 4) {
              case 0 -> d.bound(plain, "a", false, false);
              case 1 -> d.bound(plain, "b", true, false);
              case 2 -> d.bound(plain, "", true, false);
              default -> d.bound(plain, "", false, true);
            };
        d.w.user(spec);
        return spec.uid();
      }

      /** Half of their machines: some die, some are taken back with a notice. */
      private void lose(Day d, List<String> bound) {
        Set<String> hosts = new HashSet<>();
        bound.forEach(uid -> hosts.addAll(d.w.checker.hostsOf(uid)));
        List<SimWorker> theirs =
            d.w.cloud.workers().stream().filter(x -> hosts.contains(x.host())).toList();
        for (int i = 0; i < theirs.size(); i += 2) {
          d.noteMore("lost", d.jobsOn(List.of(theirs.get(i))).size());
          if (i % 4 == 0) {
            d.w.cloud.die(theirs.get(i).host());
          } else {
            theirs.get(i).recall();
          }
        }
      }
    },

    A_LEADER_ENDS_WHILE_LONG_TASKS_CANT_BE_REACHED_OR_DONT_HEAR {
      @Override
      void play(Day d) {
        SimulatedCluster w = d.w;
        d.jobs(3_000, 1_000, 8, 1, 4, 250);
        d.at(50_000, () -> part(d));
        d.overMs = 50_000 + d.cancelMs + 25_000;
        d.termsRose(1);
        d.cameAbout("unreached", () -> d.noted("unreached") >= 3);
        d.cameAbout("deaf", () -> d.noted("deaf") >= 2);
        d.cameAbout("begun elsewhere", () -> w.checker.starts() > d.noted("starts"));
      }

      private void part(Day d) {
        SimulatedCluster w = d.w;
        int old = Math.max(0, w.leader());
        List<SimWorker> busy = d.busy();
        List<SimWorker> unreached = busy.subList(0, busy.size() / 2);
        List<SimWorker> deaf = busy.subList(busy.size() / 2, busy.size() * 3 / 4);
        d.note("terms", w::terms);
        d.note("starts", w.checker::starts);
        d.note("unreached", unreached::size);
        d.note("deaf", deaf::size);
        long lasting = d.cancelMs + 12_000;
        if (d.odd) {
          // The old leader goes on answering them as long as it may: none but it reaches them.
          w.nodeCut(old, SimulatedCluster.CutMode.REFUSE, lasting);
          unreached.forEach(x -> d.reachesOnly(x, old, true));
          d.keepFrom(old, unreached, lasting);
          w.clock.at(lasting, () -> unreached.forEach(x -> d.reachesOnly(x, old, false)));
        } else {
          unreached.forEach(x -> d.cutOff(x, true));
          w.clock.at(lasting, () -> unreached.forEach(x -> d.cutOff(x, false)));
          w.clock.at(d.r.nextInt(1_000), () -> w.crash(old, 2_000));
        }
        w.clock.at(d.r.nextInt(3_000), () -> deaf.forEach(x -> w.network.deaf(x.host(), true)));
        w.clock.at(lasting, () -> deaf.forEach(x -> w.network.deaf(x.host(), false)));
      }
    },

    A_TEAM_AT_ITS_LIMIT_A_CHANGE_MACHINES_UNASKED_AND_A_CANCELLATION {
      @Override
      void play(Day d) {
        SimulatedCluster w = d.w;
        for (int i = 0; i < 4; i++) {
          d.at(3_000 + i * 300, () -> w.user(d.job("red", 1, 4, 260)));
        }
        List<String> waiting = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
          d.at(
              44_000 + i * 300,
              () -> {
                JobSpec spec = d.job("red", 1, 4, 20);
                waiting.add(spec.uid());
                w.user(spec);
              });
        }
        d.at(50_000, () -> unasked(d));
        d.overMs = 50_000 + d.cancelMs + 25_000;
        d.termsRose(1);
        d.cameAbout("at its limit", () -> d.noted("red") == 16);
        d.cameAbout("machines that can't be asked", () -> d.noted("unasked") >= 2);
        d.cameAbout("a cancellation", () -> w.checker.cancelledWhileOn() >= 2);
        d.cameAbout(
            "its room is used then", () -> waiting.stream().anyMatch(u -> w.checker.isDone(u)));
      }

      private void unasked(Day d) {
        SimulatedCluster w = d.w;
        d.note("red", () -> Math.round(w.checker.coresInUse("red")));
        d.note("terms", w::terms);
        List<SimWorker> busy = d.busy();
        List<SimWorker> cut = busy.subList(0, Math.max(0, busy.size() - 1));
        d.note("unasked", cut::size);
        List<String> first = d.jobsOn(cut);
        cut.forEach(x -> d.cutOff(x, true));
        long lasting = 4_000 + d.r.nextInt((int) d.leaseMs + 10_000);
        w.clock.at(lasting, () -> cut.forEach(x -> d.cutOff(x, false)));
        w.clock.at(d.r.nextInt(1_000), () -> d.crashLeader(2_000));
        // One of a machine that nobody can ask, one of a machine that answers.
        List<String> other = w.checker.running().stream().filter(u -> !first.contains(u)).toList();
        first.stream()
            .limit(1)
            .forEach(u -> w.clock.at(500 + d.r.nextInt(7_000), () -> w.cancel(u, 0)));
        other.stream()
            .limit(1)
            .forEach(u -> w.clock.at(500 + d.r.nextInt(7_000), () -> w.cancel(u, 0)));
      }
    },

    EVERY_TEAM_AT_ITS_LIMIT_CANCELLED_JOBS_CUT_OR_HUNG_AND_A_CHANGE {
      @Override
      void play(Day d) {
        SimulatedCluster w = d.w;
        d.jobs(3_000, 300, 8, 1, 4, 260);
        d.jobs(44_000, 300, 8, 1, 4, 20);
        d.at(50_000, () -> cancelled(d));
        d.overMs = 50_000 + d.cancelMs + 25_000;
        d.termsRose(1);
        d.cameAbout("every team at its limit", () -> d.noted("red") + d.noted("blue") == 32);
        d.cameAbout("cancelled", () -> w.checker.cancelledWhileOn() >= 4);
        d.cameAbout("hung and cut", () -> d.noted("hung") >= 2 && d.noted("cut") >= 2);
      }

      private void cancelled(Day d) {
        SimulatedCluster w = d.w;
        d.note("red", () -> Math.round(w.checker.coresInUse("red")));
        d.note("blue", () -> Math.round(w.checker.coresInUse("blue")));
        d.note("terms", w::terms);
        List<SimWorker> busy = new ArrayList<>(d.busy());
        Collections.shuffle(busy, d.r);
        long lasting = 5_000 + d.r.nextInt((int) d.cancelMs);
        for (int i = 0; i < Math.min(5, busy.size()); i++) {
          SimWorker x = busy.get(i);
          d.jobsOn(List.of(x)).forEach(u -> w.clock.at(d.r.nextInt(200), () -> w.cancel(u, 0)));
          if (i % 2 == 0) {
            d.noteMore("cut", 1);
            w.clock.at(d.r.nextInt(200), () -> d.cutOff(x, true));
            w.clock.at(lasting, () -> d.cutOff(x, false));
          } else {
            d.noteMore("hung", 1);
            w.clock.at(d.r.nextInt(200), () -> x.hang(lasting));
          }
        }
        w.clock.at(d.r.nextInt(3_000), () -> d.crashLeader(2_000));
      }
    },

    NEW_MACHINES_GET_WORK_AT_ONCE_WHILE_WRITES_LAG_AND_THE_LEADER_ENDS {
      @Override
      void play(Day d) {
        SimulatedCluster w = d.w;
        w.cloud.boots("small", 0.2);
        w.cloud.boots("large", 0.2);
        w.network.lateWrites(0.45, false);
        d.at(1_000, () -> d.note("terms", w::terms));
        for (int i = 0; i < 3; i++) {
          burst(d, 12_000 + i * 25_000, 8 + 20 * i);
        }
        d.at(90_000, () -> w.network.lateWrites(0, false));
        d.overMs = 95_000;
        d.termsRose(2);
        d.cameAbout("writes lagged", () -> w.overtakenWrites() >= 1);
        d.cameAbout("ended right after work began there", () -> d.noted("met") >= 2);
      }

      private void burst(Day d, long atMs, int tasks) {
        SimulatedCluster w = d.w;
        Set<String> before = new HashSet<>();
        d.at(
            atMs,
            () -> {
              w.cloud.workers().forEach(x -> before.add(x.host()));
              w.user(d.pressing(d.job("red", tasks / 2, 2, 30)));
              w.user(d.pressing(d.job("blue", tasks, 2, 30)));
            });
        boolean[] ended = {false};
        d.every(
            atMs + 100,
            atMs + 20_000,
            50,
            () -> {
              boolean begun = d.busy().stream().anyMatch(x -> !before.contains(x.host()));
              if (!ended[0] && begun && w.leader() >= 0) {
                ended[0] = true;
                d.noteMore("met", 1);
                w.clock.at(d.r.nextInt(150), d::crashLeaderAndCutSome);
              }
            });
      }
    },

    AN_OLD_REPORT_COMES_JUST_AS_A_LEADER_BEGINS {
      @Override
      void play(Day d) {
        SimulatedCluster w = d.w;
        d.jobs(3_000, 1_500, 60, 3, 1, 18);
        d.at(15_000, () -> w.network.lateReports(0.5, true));
        d.at(29_000, () -> d.note("terms", w::terms));
        for (int i = 0; i < 4; i++) {
          d.at(30_000 + i * 20_000 + d.r.nextInt(4_000), () -> d.crashLeader(3_000));
        }
        d.every(28_000, 100_000, 10_000, () -> w.cancelNow(2, 0));
        d.at(110_000, () -> w.network.lateReports(0, false));
        d.overMs = 112_000;
        d.termsRose(4);
        d.cameAbout("old reports came then", () -> w.copiesDelivered() >= 40);
      }
    },

    A_REPORT_IS_HELD_BACK_UNTIL_A_NEW_LEADER_HAS_ACTED {
      @Override
      void play(Day d) {
        SimulatedCluster w = d.w;
        d.jobs(3_000, 1_500, 16, 3, 1, 35);
        d.jobs(46_000, 1_000, 40, 2, 1, 30);
        d.at(45_000, () -> holdBack(d));
        d.overMs = 45_000 + d.cancelMs + 30_000;
        d.termsRose(1);
        d.cameAbout(
            "the new leader had acted", () -> d.noted("starts") > 0 && d.noted("acted") >= 1);
        d.cameAbout("held reports arrived", () -> d.noted("arrived") >= 3);
      }

      private void holdBack(Day d) {
        SimulatedCluster w = d.w;
        List<SimWorker> busy = d.busy();
        List<SimWorker> some = busy.subList(0, busy.size() / 2 + 1);
        some.forEach(x -> d.cutOff(x, true));
        d.note("terms", w::terms);
        w.clock.at(1_000 + d.r.nextInt(3_000), () -> d.crashLeader(2_000));
        // While their leases last, and after they ran out and their tasks began elsewhere.
        long lasting = d.odd ? 17_000 : d.cancelMs + 8_000;
        boolean[] seen = {false};
        d.every(
            w.clock.nowMs(),
            w.clock.nowMs() + lasting,
            100,
            () -> {
              if (!seen[0] && w.leader() >= 0 && w.terms() > d.noted("terms")) {
                seen[0] = true;
                d.note("starts", w.checker::starts);
              }
            });
        w.clock.at(
            lasting + 3_000 + d.r.nextInt(4_000),
            () -> {
              d.note("acted", () -> w.checker.starts() - d.noted("starts"));
              some.forEach(x -> d.noteMore("arrived", d.cutOff(x, false)));
            });
      }
    },

    ALL_CONTROLLERS_ARE_AWAY_LONGER_THAN_A_LEASE {
      @Override
      void play(Day d) {
        SimulatedCluster w = d.w;
        d.jobs(3_000, 1_000, 14, 3, 1, 120);
        Map<SimWorker, Long> sessions = new HashMap<>();
        long awayMs = d.leaseMs + 3_000 + d.r.nextInt(9_000);
        d.at(44_000, () -> d.note("terms", w::terms));
        d.at(44_000, () -> w.cancelNow(3, 0));
        d.at(
            45_000,
            () -> {
              d.busy().forEach(x -> sessions.put(x, x.tenure()));
              for (int i = 0; i < NODES; i++) {
                w.crash(i, awayMs + d.r.nextInt(2_000));
              }
            });
        d.at(
            45_000 + awayMs - 100,
            () ->
                d.note(
                    "ended",
                    () ->
                        sessions.entrySet().stream()
                            .filter(e -> e.getKey().tenure() > e.getValue())
                            .count()));
        d.overMs = 45_000 + awayMs + 8_000;
        d.termsRose(1);
        d.cameAbout("sessions ended", () -> d.noted("ended") >= 3);
        d.cameAbout("cancelled just before", () -> w.checker.cancelledWhileOn() >= 1);
      }
    };

    abstract void play(Day d);

    /** Where a team is at its limit there is one; elsewhere it would only be in the way. */
    double limit() {
      return name().contains("AT_ITS_LIMIT") ? 16 : 0;
    }
  }

  static Stream<Arguments> days() {
    List<Arguments> all = new ArrayList<>();
    for (Meeting meeting : Meeting.values()) {
      long seed = 1;
      for (String deployment : TIMINGS.keySet().stream().sorted().toList()) {
        all.add(Arguments.of(meeting, deployment, seed++));
      }
    }
    return all.stream();
  }

  @ParameterizedTest(name = "{0}, {1}, seed {2}")
  @MethodSource("days")
  void rulesHoldIn(Meeting meeting, String deployment, long seed) {
    Day d = new Day(seed, TIMINGS.get(deployment), meeting.limit());
    meeting.play(d);
    d.at(d.overMs, d.w::troublesAreOver);
    d.w.clock.runUntil(d.overMs + AFTERWARDS_MS);
    assertEquals(List.of(), d.w.checker.broken());
    assertEquals(0, d.w.checker.neverBegun(), "accepted jobs never began");
    List<String> missing =
        d.evidence.entrySet().stream()
            .filter(e -> !e.getValue().getAsBoolean())
            .map(e -> e.getKey() + " " + d.noted)
            .toList();
    assertEquals(List.of(), missing, "did not come about");
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
    Day d = new Day(seed, TIMINGS.get(deployment), 16);
    SimulatedCluster w = d.w;
    int tasks = d.odd ? 1 : 2;
    JobSpec job = d.job("red", tasks, 4, 70);
    d.at(3_000, () -> w.user(job));
    for (int i = tasks; i < 4; i++) {
      d.at(4_000 + i * 300, () -> w.user(d.job("red", 1, 4, 400)));
    }
    for (int i = 0; i < 4; i++) {
      d.at(60_000 + i * 300, () -> w.user(d.job("red", 1, 4, 50)));
    }
    List<SimWorker> completedOn = new ArrayList<>();
    List<SimWorker> first = new ArrayList<>();
    List<SimWorker> again = new ArrayList<>();
    d.every(
        20_000,
        230_000,
        25,
        () -> {
          List<SimWorker> on = machinesOf(w, job.uid());
          if (first.isEmpty() && on.size() == tasks) {
            first.addAll(on);
          } else if (completedOn.isEmpty() && !first.isEmpty() && on.size() < tasks) {
            first.removeAll(on);
            completedOn.addAll(first);
            completedOn.forEach(x -> d.cutOff(x, true));
            // Of two tasks the other one begins again as well, so that the job is not yet done.
            on.forEach(x -> w.cloud.take(x.host()));
          } else if (again.isEmpty() && !completedOn.isEmpty() && on.size() == tasks) {
            again.addAll(on);
            w.clock.at(2_500, () -> reportsAtLast(d, completedOn, again));
          }
        });
    d.at(260_000, w::troublesAreOver);
    w.clock.runUntil(260_000 + AFTERWARDS_MS);
    assertEquals(List.of(), w.checker.broken());
    assertTrue(d.noted("arrived") >= 1, "held reports arrived");
    assertTrue(w.terms() > d.noted("terms"), "the lead changed");
    assertEquals(16, d.noted("red"), "at its limit, with what goes on");
    assertTrue(w.checker.isDone(job.uid()));
  }

  private static List<SimWorker> machinesOf(SimulatedCluster w, String uid) {
    List<String> hosts = w.checker.hostsOf(uid);
    return w.cloud.workers().stream().filter(x -> hosts.contains(x.host())).toList();
  }

  private static void reportsAtLast(Day d, List<SimWorker> completedOn, List<SimWorker> again) {
    again.forEach(x -> d.cutOff(x, true));
    d.w.clock.at(100, () -> completedOn.forEach(x -> d.noteMore("arrived", d.cutOff(x, false))));
    d.w.clock.at(
        1_000,
        () -> {
          d.note("red", () -> Math.round(d.w.checker.coresInUse("red")));
          d.note("terms", d.w::terms);
          d.crashLeader(50);
        });
    d.w.clock.at(d.leaseMs + 9_000, () -> again.forEach(x -> d.cutOff(x, false)));
  }
}
