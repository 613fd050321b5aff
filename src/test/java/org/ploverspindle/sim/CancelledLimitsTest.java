package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.sim.ReferenceProgressRecords.Kind;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.Transaction;

/**
 * Every team is at its limit with jobs that are cancelled; their tasks are proven gone, their
 * machines can be asked no more, and the leader ends. The next one has nothing but the records, and
 * must not hold the teams' limits for what its predecessor had proven gone.
 */
class CancelledLimitsTest {
  private static final Settings.WorkerLimits WORKERS = new Settings.WorkerLimits(5, 26.5, 56.5);
  private static final long CANCEL_MS = 56_500;
  private static final int JOBS_OF_A_TEAM = 3;
  private static final double LIMIT = 12;

  /**
   * From the leader's end: the next one's election, a rental and a boot. Whoever waits for the
   * machines that can't be asked waits for a lease and the grace, both from its election on.
   */
  private static final long BEGIN_MS = 40_000;

  /** What happens around the cancellation. */
  private enum Trouble {
    NONE {
      @Override
      long play(Day d) {
        return 25_000;
      }
    },

    /** The next leader proves it again, and says so. */
    THE_LEADER_ENDS_BETWEEN_THE_PROOF_AND_THE_WRITE {
      @Override
      long play(Day d) {
        d.w.clock.after(
            1_500,
            () -> {
              d.terms = d.w.termCount();
              d.w.crash(d.w.leader(), 2_000);
            });
        return CANCEL_MS + 12_000;
      }

      @Override
      void assertCameAbout(Day d) {
        assertTrue(d.w.termCount() >= d.terms + 2, "two changes of the leader");
      }
    },

    WRITES_ARE_LATE_OR_THEIR_ANSWERS_LOST {
      @Override
      long play(Day d) {
        d.w.network.setUnansweredWrites(0.5, false);
        d.w.clock.after(30_000, () -> d.w.network.setUnansweredWrites(0, false));
        return 50_000;
      }
    },

    MACHINES_ARE_CUT_OFF_OR_HANG {
      @Override
      long play(Day d) {
        for (int i = 0; i < d.machines.size(); i++) {
          SimWorker x = d.machines.get(i);
          if (i % 2 == 0) {
            d.cutOff(x, true);
          } else {
            x.hang(CANCEL_MS);
          }
        }
        // The leader resigns, as it reaches no machine, and the next one waits for them as well.
        return 2 * CANCEL_MS + 15_000;
      }
    };

    /** Returns after which time all is proven and written. */
    abstract long play(Day d);

    void assertCameAbout(Day d) {}
  }

  private static final class Day {
    private final SimulatedCluster w;
    private final List<JobSpec> first = new ArrayList<>();
    private final List<JobSpec> second = new ArrayList<>();
    private final List<SimWorker> machines = new ArrayList<>();
    private long terms;
    private double coresBefore;

    Day(long seed) {
      w =
          new SimulatedCluster(
              seed,
              new SimulatedCluster.Deployment(
                  3,
                  14,
                  List.of("a", "b"),
                  WORKERS,
                  new Settings.StateLimits(120, 35, 8, 12),
                  new Settings.CloudLimits(20, 3),
                  List.of(
                      new Settings.Team("red", 8, LIMIT, 0, 0),
                      new Settings.Team("blue", 8, LIMIT, 0, 0)),
                  new Policy(3, 8, 15, 0, 100, 20, Map.of())));
    }

    void submit(List<JobSpec> jobs, double runS) {
      for (int i = 0; i < 2 * JOBS_OF_A_TEAM; i++) {
        String team = i % 2 == 0 ? "red" : "blue";
        JobSpec job =
            JobSpecFixtures.batch(w.newUid(), "c", team, Priority.NORMAL, 1, 4, 0.1, runS, 0)
                .withTypes(List.of("small"));
        jobs.add(job);
        w.submitAndPoll(job);
      }
    }

    void cutOff(SimWorker x, boolean now) {
      for (int i = 0; i < w.controllerCount; i++) {
        w.network.holdPackets("n" + i, x.host(), now);
      }
    }

    long cancelAll(Trouble trouble) {
      coresBefore = w.checker.coresInUse("red") + w.checker.coresInUse("blue");
      List<String> hosts = new ArrayList<>();
      first.forEach(j -> hosts.addAll(w.checker.hostsOf(j.uid())));
      w.cloud.workers().stream().filter(x -> hosts.contains(x.host())).forEach(machines::add);
      first.forEach(j -> w.cancel(j.uid(), 0));
      return trouble.play(this);
    }
  }

  static Stream<Arguments> days() {
    return Stream.of(Trouble.values())
        .flatMap(t -> Stream.of(1L, 2L, 3L).map(seed -> Arguments.of(t, seed)));
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("days")
  void theNextLeaderCountsNothingForWhatWasProvenGone(Trouble trouble, long seed) {
    Day d = new Day(seed);
    SimulatedCluster w = d.w;
    w.clock.after(3_000, () -> d.submit(d.first, 400));
    w.clock.runUntil(50_000);
    long provenMs = 50_000 + d.cancelAll(trouble);
    assertEquals(2 * LIMIT, d.coresBefore, "every team at its limit");
    w.clock.runUntil(provenMs);
    d.first.forEach(j -> assertEquals("aborted", w.checker.finalWord(j.uid())));
    d.first.forEach(j -> assertEquals(List.of(), recordedLive(w, j), j.uid()));
    d.machines.forEach(x -> d.cutOff(x, true));
    // A machine that never comes up would be waited for instead, which is not looked at here.
    w.cloud.stopBootFailures();
    w.crash(w.leader(), 2_000);
    d.submit(d.second, 10);
    w.clock.runUntil(provenMs + BEGIN_MS);
    for (JobSpec job : d.second) {
      assertTrue(w.checker.begunMs(job.uid()) >= 0, job.uid() + " waits for what is proven gone");
    }
    d.machines.forEach(x -> d.cutOff(x, false));
    w.faultsEnded();
    w.clock.runUntil(provenMs + 150_000);
    assertEquals(List.of(), w.checker.broken());
    trouble.assertCameAbout(d);
  }

  private static List<String> recordedLive(SimulatedCluster w, JobSpec job) {
    Kind kind = new Kind(job.uid(), job.tasks(), 10_000);
    return Stream.of(ReferenceProgressRecords.read(LowerLimitsTest.all(w.state), kind))
        .filter(s -> s.startsWith("live"))
        .toList();
  }

  /** While jobs come and go, the ends of cancelled ones' placements ride on other writes. */
  @Test
  void inTheCommonCaseNoTransactionIsWrittenForThemAlone() {
    Day d = new Day(1);
    SimulatedCluster w = d.w;
    Random random = new Random(5);
    int[] written = new int[2];
    w.state.onWrite(
        txn -> {
          written[0] += txn.changes().stream().anyMatch(CancelledLimitsTest::isProgress) ? 1 : 0;
          written[1] += isForEndsAlone(w, txn) ? 1 : 0;
        });
    for (int i = 0; i < 200; i++) {
      w.clock.after(
          3_000 + i * 1_000,
          () ->
              w.submitAndPoll(
                  JobSpecFixtures.batch(
                      w.newUid(),
                      "c",
                      "blue",
                      Priority.NORMAL,
                      2,
                      0.5,
                      0.1,
                      8 + random.nextInt(9),
                      0)));
      if (i % 3 == 2 && i > 20) {
        w.clock.after(3_500 + i * 1_000, () -> w.cancelRunning(1, 0));
      }
    }
    w.clock.runUntil(203_000);
    assertTrue(w.checker.cancelledWhileOn() >= 30, w.checker.cancelledWhileOn() + " cancelled");
    assertTrue(written[0] > 150, written[0] + " written");
    assertEquals(0, written[1]);
    assertEquals(List.of(), w.checker.broken());
  }

  private static boolean isProgress(Change change) {
    return change.key().startsWith(Keys.PROGRESS_LOG) || change.key().startsWith(Keys.SNAPSHOTS);
  }

  /** Does it say nothing but that placements of cancelled jobs are gone? */
  private static boolean isForEndsAlone(SimulatedCluster w, Transaction txn) {
    SortedMap<String, Entry> all = LowerLimitsTest.all(w.state);
    List<String> lines = new ArrayList<>();
    for (Change change : txn.changes()) {
      if (!(change instanceof Change.Put put) || !put.key().startsWith(Keys.PROGRESS_LOG)) {
        return false;
      }
      put.value().path("jobs").forEach(line -> lines.add(line.asText()));
    }
    return !lines.isEmpty()
        && lines.stream()
            .map(line -> line.split("\\|", -1))
            .allMatch(
                f -> all.containsKey(Keys.cancellation(f[0])) && f[3].isEmpty() && f[5].isEmpty());
  }
}
