package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.JobSpecBuilder;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;

/**
 * Random schedules of failures against the real decision code, checked by the plain model of the
 * rules. A seed that ever failed stays here by name.
 */
class InvariantsTest {
  private static final int NODES = 3;

  static JobSpec job(String uid, Random random) {
    boolean service = random.nextInt(8) == 0;
    boolean saves = random.nextInt(3) == 0;
    return new JobSpec(
        uid,
        "class-" + random.nextInt(2),
        random.nextBoolean() ? "red" : "blue",
        service ? JobKind.SERVICE : JobKind.BATCH,
        Priority.values()[random.nextInt(4)],
        1 + random.nextInt(service ? 3 : 12),
        1 + random.nextInt(4),
        0,
        1 + random.nextInt(4),
        random.nextInt(4) == 0 ? Optional.of(List.of("large")) : Optional.empty(),
        random.nextInt(5) == 0 ? Optional.of("a") : Optional.empty(),
        random.nextInt(5) == 0,
        random.nextInt(5) == 0,
        random.nextInt(4) > 0,
        "image-" + random.nextInt(3),
        1,
        service ? 0 : 1 + random.nextInt(20),
        saves ? 3 : 0,
        saves ? 1 : 0,
        random.nextBoolean() ? OptionalDouble.of(40) : OptionalDouble.empty(),
        List.of());
  }

  private static void trouble(SimulatedCluster w) {
    Random r = w.random;
    int node = r.nextInt(NODES);
    long forMs = 1_000 + r.nextInt(30_000);
    switch (r.nextInt(15)) {
      case 0 -> w.crash(node, 100 + r.nextInt(4_000));
      case 1 -> {
        for (int i = 0; i < NODES; i++) {
          w.crash(i, 100 + r.nextInt(4_000));
        }
      }
      case 2 -> {
        w.state.setOutage(true);
        w.clock.after(forMs, () -> w.state.setOutage(false));
      }
      case 3 -> {
        w.cloud.setOutage(true);
        w.clock.after(forMs, () -> w.cloud.setOutage(false));
      }
      case 4 -> cutFor(w, "n" + node, SimulatedCluster.STATE, forMs);
      case 5 -> w.cloud.workers().forEach(x -> cutFor(w, "n" + node, x.host(), forMs));
      case 6 -> {
        cutFor(w, "n" + node, SimulatedCluster.STATE, forMs);
        w.cloud.workers().stream()
            .filter(x -> r.nextBoolean())
            .forEach(x -> cutFor(w, "n" + node, x.host(), forMs));
      }
      case 7 -> {
        List<SimWorker> all = w.cloud.workers();
        if (!all.isEmpty()) {
          SimWorker x = all.get(r.nextInt(all.size()));
          for (int i = 0; i < NODES; i++) {
            cutFor(w, "n" + i, x.host(), forMs);
          }
        }
      }
      case 8 -> {
        List<SimWorker> all = w.cloud.workers();
        if (!all.isEmpty()) {
          w.cloud.fail(all.get(r.nextInt(all.size())).host());
        }
      }
      case 9 -> {
        List<SimWorker> all = w.cloud.workers();
        if (!all.isEmpty()) {
          SimWorker x = all.get(r.nextInt(all.size()));
          if (r.nextBoolean()) {
            x.giveSpotNotice();
          } else {
            x.setFailing(true);
          }
        }
      }
      case 10 -> {
        List<SimWorker> all = w.cloud.workers();
        if (!all.isEmpty()) {
          SimWorker x = all.get(r.nextInt(all.size()));
          w.network.dropInbound(x.host(), true);
          w.clock.after(forMs, () -> w.network.dropInbound(x.host(), false));
        }
      }
      case 11 -> {
        w.network.setDelayedCopyShare(0.05 + r.nextDouble() * 0.3);
        w.clock.after(forMs, () -> w.network.setDelayedCopyShare(0));
      }
      case 12 -> {
        cutFor(w, "n" + node, SimulatedCluster.STATE, forMs);
        for (int i = 0; i < NODES; i++) {
          cutFor(w, "n" + node, "n" + i, forMs);
        }
      }
      case 13 -> {
        // Back within a fraction of a second, and again while the others still elect.
        w.crash(node, 20 + r.nextInt(400));
        w.clock.after(
            500 + r.nextInt(6_000),
            () -> {
              w.crash(r.nextInt(NODES), 20 + r.nextInt(300));
              w.crash(r.nextInt(NODES), 20 + r.nextInt(300));
            });
      }
      default -> {
        w.network.setLateRequestShare(0.05 + r.nextDouble() * 0.2);
        w.clock.after(forMs, () -> w.network.setLateRequestShare(0));
      }
    }
  }

  private static void cutFor(SimulatedCluster w, String a, String b, long forMs) {
    w.network.partition(a, b, true);
    w.clock.after(forMs, () -> w.network.partition(a, b, false));
  }

  static SimulatedCluster play(long seed, int troubles) {
    SimulatedCluster w = new SimulatedCluster(seed, NODES, 14, List.of("a", "b"));
    Random r = new Random(seed * 31 + 7);
    submitJobs(w, r);
    for (int i = 0; i < troubles; i++) {
      w.clock.after(10_000 + r.nextInt(190_000), () -> trouble(w));
    }
    return finish(w);
  }

  /** Each pair overlaps: the second trouble begins while the first one lasts. */
  static SimulatedCluster playPairs(long seed, int pairs) {
    SimulatedCluster w = new SimulatedCluster(seed, NODES, 14, List.of("a", "b"));
    Random r = new Random(seed * 31 + 7);
    submitJobs(w, r);
    Faults[] all = Faults.values();
    for (int i = 0; i < pairs; i++) {
      playPair(
          w,
          r,
          all[r.nextInt(all.length)],
          all[r.nextInt(all.length)],
          10_000 + r.nextInt(190_000));
    }
    return finish(w);
  }

  /** The two meet several times, in either order. */
  static SimulatedCluster playMeeting(long seed, Faults first, Faults second) {
    SimulatedCluster w = new SimulatedCluster(seed, NODES, 14, List.of("a", "b"));
    Random r = new Random(seed * 31 + 7);
    submitJobs(w, r);
    for (int i = 0; i < 5; i++) {
      int atMs = 15_000 + i * 38_000 + r.nextInt(5_000);
      playPair(w, r, i % 2 == 0 ? first : second, i % 2 == 0 ? second : first, atMs);
    }
    return finish(w);
  }

  static void playPair(SimulatedCluster w, Random r, Faults first, Faults second, int atMs) {
    int forMs = 1_000 + r.nextInt(30_000);
    int secondForMs = 1_000 + r.nextInt(30_000);
    w.clock.after(atMs, () -> first.begin(w, r, forMs));
    w.clock.after(atMs + r.nextInt(Math.min(forMs, 9_000)), () -> second.begin(w, r, secondForMs));
  }

  private static void submitJobs(SimulatedCluster w, Random r) {
    for (int i = 0; i < 40; i++) {
      w.clock.after(
          3_000 + r.nextInt(150_000),
          () -> {
            JobSpec spec = job(w.newUid(), r);
            w.submitAndPoll(spec);
            if (spec.expectedS() == 0 || r.nextInt(4) == 0) {
              w.clock.after(2_000 + r.nextInt(40_000), () -> w.cancel(spec.uid(), 0));
            }
          });
    }
    w.clock.after(20_000, () -> w.poll("run-999999"));
  }

  private static SimulatedCluster finish(SimulatedCluster w) {
    w.clock.after(240_000, w::faultsEnded);
    w.clock.runUntil(420_000);
    w.checker.endOfDay();
    return w;
  }

  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 22, 33, 101, 281,
        1207
      })
  void rulesHoldUnderRandomTroubles(long seed) {
    SimulatedCluster w = play(seed, 14);
    assertEquals(List.of(), w.checker.broken(), "seed " + seed);
    assertTrue(w.checker.starts() > 50, "seed " + seed + ": " + w.checker.starts() + " starts");
    assertEquals(0, w.checker.neverBegun(), "seed " + seed + ": accepted jobs never began");
  }

  private static void assertRulesKept(SimulatedCluster w, String what) {
    assertEquals(List.of(), w.checker.broken(), what);
    assertTrue(w.checker.starts() > 50, what + ": " + w.checker.starts() + " starts");
    assertEquals(0, w.checker.neverBegun(), what + ": accepted jobs never began");
  }

  @ParameterizedTest
  @EnumSource(Faults.class)
  void rulesHoldUnderEachTrouble(Faults trouble) {
    assertRulesKept(playMeeting(1, trouble, trouble), trouble.name());
  }

  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25,
        122, 176
      })
  void rulesHoldWhereTwoTroublesMeet(long seed) {
    assertRulesKept(playPairs(seed, 9), "seed " + seed);
  }

  @Test
  void anArrayOfTheLargestSizeIsTakenAndWorkedOn() {
    SimulatedCluster w = new SimulatedCluster(5, NODES, 14, List.of("a", "b"));
    JobSpec big =
        JobSpecBuilder.job(w.newUid())
            .jobClass("big")
            .tasks(JobSpec.MAX_TASKS)
            .expectedS(2)
            .build();
    w.clock.after(3_000, () -> w.submitAndPoll(big));
    w.clock.after(40_000, () -> w.crash(0, 1_000));
    w.clock.after(45_000, () -> w.crash(1, 1_000));
    w.clock.runUntil(90_000);
    assertEquals(List.of(), w.checker.broken());
    assertTrue(w.checker.starts() > 500, w.checker.starts() + " starts");
  }

  @Test
  void aQuietDayIsServedWhole() {
    SimulatedCluster w = play(77, 0);
    assertEquals(List.of(), w.checker.broken());
    assertTrue(w.checker.jobsDone() >= 25, w.checker.jobsDone() + " jobs done");
  }
}
