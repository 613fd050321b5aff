package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.Specs;
import org.ploverspindle.jobs.JobSpec;
import org.ploverspindle.jobs.Urgency;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;

/**
 * Meetings of two troubles in which users ask, submit and cancel. Each seed plays one deployment's
 * report, lease and cancellation times, and each test also asserts that its meeting came about.
 */
class UserFaultsTest {
  private static final int NODES = 3;
  private static final int FROM_MS = 12_000;

  /**
   * A leader hears of what another node is about to confirm by a hint, or by its next read; what it
   * orders before that is in flight, and must be gone in time.
   */
  private static final long MOST_LATE_MS = 50;

  private static final List<Settings.WorkerLimits> TIMINGS =
      List.of(
          new Settings.WorkerLimits(3, 14, 39),
          new Settings.WorkerLimits(1.5, 10, 40),
          new Settings.WorkerLimits(5, 26.5, 51.5),
          new Settings.WorkerLimits(5, 26.5, 56.5));

  private final Random random = new Random(11);
  private final List<String> submitted = new ArrayList<>();
  private SimulatedCluster w;

  private void world(long seed, int capacity) {
    world(seed, capacity, 0);
  }

  private void world(long seed, int capacity, double redCores) {
    w =
        new SimulatedCluster(
            seed,
            new SimulatedCluster.Site(
                NODES,
                capacity,
                List.of("a"),
                timing(seed),
                new Settings.StateLimits(120, 35, 8, 12),
                new Settings.CloudLimits(20, 3),
                List.of(
                    new Settings.Team("red", 8, redCores, 0, 0),
                    new Settings.Team("blue", 8, 0, 0, 0)),
                new Policy(3, 8, 15, 0, 100, 20, Map.of())));
  }

  private static Settings.WorkerLimits timing(long seed) {
    return TIMINGS.get((int) (seed % TIMINGS.size()));
  }

  private String submit(String team, Urgency urgency, int tasks, double cores, double runS) {
    JobSpec spec =
        Specs.batch(w.newUid(), "c-" + urgency, team, urgency, tasks, cores, 0.1, runS, 0);
    submitted.add(spec.uid());
    w.user(spec);
    return spec.uid();
  }

  /** One job after another, at a spacing. */
  private void jobs(int fromMs, int count, int everyMs, Urgency urgency, int tasks, double runS) {
    for (int i = 0; i < count; i++) {
      w.clock.at(fromMs + i * everyMs, () -> submit("blue", urgency, tasks, 1, runS));
    }
  }

  /** Users cancel some of what has been submitted and is not over, one after another. */
  private void cancellations(int fromMs, int count, int everyMs) {
    for (int i = 0; i < count; i++) {
      w.clock.at(
          fromMs + i * everyMs,
          () -> {
            List<String> running = w.checker.running();
            if (!running.isEmpty()) {
              w.cancel(running.get(random.nextInt(running.size())), 0);
            }
          });
    }
  }

  private void runUntilOver(int overMs, int afterMs) {
    w.clock.at(overMs, w::troublesAreOver);
    w.clock.runUntil(overMs + afterMs);
    assertEquals(List.of(), w.checker.broken());
    long lateMs =
        w.checker.lateStarts().stream()
            .mapToLong(Checker.LateStart::orderedAfterMs)
            .max()
            .orElse(0);
    assertTrue(lateMs <= MOST_LATE_MS, "ordered " + lateMs + " ms after a confirmed cancellation");
    assertEquals(0, w.checker.neverBegun(), "accepted jobs that never began");
  }

  private static void cameAbout(String what, long least, long found) {
    assertTrue(found >= least, what + ": " + found + ", at least " + least + " expected");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void writesWhoseAnswersAreLostAreReadByOthers(long seed) {
    world(seed, 10);
    w.clock.at(FROM_MS, () -> w.network.lateWrites(0.3, true));
    w.clock.at(FROM_MS, () -> w.closeLooks(true));
    jobs(FROM_MS, 50, 1_000, Urgency.NORMAL, 2, 8);
    cancellations(FROM_MS + 10_000, 12, 4_000);
    w.clock.at(35_000, () -> w.crash(Math.max(0, w.leader()), 1_000));
    w.clock.at(70_000, () -> w.network.lateWrites(0, true));
    runUntilOver(70_000, 100_000);
    cameAbout("transactions that stand unanswered", 20, w.unansweredWrites());
    cameAbout("cancelled while on", 3, w.checker.cancelledWhileOn());
    cameAbout("done", 15, w.checker.jobsDone());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void moreWorkThanRoomOverSlowLinks(long seed) {
    world(seed, 4, 6);
    w.clock.at(FROM_MS, () -> w.network.lateShare(0.15));
    jobs(FROM_MS, 20, 1_500, Urgency.NORMAL, 4, 15);
    jobs(FROM_MS + 500, 10, 4_000, Urgency.HIGH, 3, 6);
    for (int i = 0; i < 6; i++) {
      w.clock.at(FROM_MS + i * 5_000, () -> submit("red", Urgency.CRITICAL, 8, 1, 5));
    }
    cancellations(FROM_MS + 15_000, 6, 6_000);
    long[] waiting = {0};
    w.clock.at(50_000, () -> waiting[0] = w.checker.neverBegun());
    w.clock.at(80_000, () -> w.network.lateShare(0));
    runUntilOver(80_000, 500_000);
    cameAbout("jobs that wait for room", 5, waiting[0]);
    cameAbout("done", 25, w.checker.jobsDone());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void machinesReachNoControllerWhileDirectCommandsReachThem(long seed) {
    world(seed, 8);
    jobs(4_000, 75, 1_000, Urgency.HIGH, 2, 9);
    // Longer than a lease: they are on those machines until it runs out.
    jobs(4_500, 10, 1_500, Urgency.HIGH, 2, 60);
    int muteMs = (int) (timing(seed).leaseS() * 1_500);
    Set<String> mute = new HashSet<>();
    for (int round = 0; round < 2; round++) {
      boolean all = round == 1;
      w.clock.at(
          20_000 + round * (muteMs + 8_000),
          () -> {
            for (SimWorker x : w.cloud.workers()) {
              if (!x.gone() && (all || random.nextInt(3) == 0)) {
                mute.add(x.host());
                w.network.machineMute(x.host(), true);
                w.clock.at(muteMs, () -> w.network.machineMute(x.host(), false));
              }
            }
          });
    }
    w.clock.at(32_000 + muteMs, () -> w.crash(Math.max(0, w.leader()), 500));
    cancellations(24_000, 10, 4_000);
    runUntilOver(30_000 + 2 * muteMs + 8_000, 120_000);
    cameAbout("machines that reached no controller", 2, mute.size());
    cameAbout("launches that reached them directly", 1, w.directsToMute());
    cameAbout("cancelled while on", 2, w.checker.cancelledWhileOn());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void commandsAreHeldUpForSecondsAndTheMachineGoesOn(long seed) {
    world(seed, 8);
    jobs(4_000, 110, 600, Urgency.HIGH, 1, 15);
    w.network.heldCommands(0.7);
    w.clock.at(80_000, () -> w.network.heldCommands(0));
    for (int at = FROM_MS; at < 70_000; at += 3_000) {
      w.clock.at(at, () -> w.cloud.workers().forEach(this::holdUp));
    }
    cancellations(FROM_MS + 4_000, 20, 2_500);
    w.clock.at(40_000, () -> w.crash(Math.max(0, w.leader()), 500));
    runUntilOver(80_000, 120_000);
    cameAbout("launches carried out late", 5, w.lateDirects());
    cameAbout("cancelled while on", 8, w.checker.cancelledWhileOn());
  }

  /** It stands still, or what goes between it and the leader is held back, for some seconds. */
  private void holdUp(SimWorker x) {
    int leader = w.leader();
    if (x.gone() || leader < 0 || random.nextInt(2) > 0) {
      return;
    }
    int forMs = 1_600 + random.nextInt(6_000);
    if (random.nextBoolean()) {
      x.hang(forMs);
    } else {
      w.network.hold("n" + leader, x.host(), true);
      w.clock.at(forMs, () -> w.network.hold("n" + leader, x.host(), false));
    }
  }

  /** What the state service does before it is out for all. */
  enum Before {
    ANSWERS_SLOWLY,
    REFUSES_THE_LEADER
  }

  @ParameterizedTest
  @CsvSource({
    "ANSWERS_SLOWLY, 1",
    "ANSWERS_SLOWLY, 2",
    "ANSWERS_SLOWLY, 3",
    "ANSWERS_SLOWLY, 4",
    "REFUSES_THE_LEADER, 1",
    "REFUSES_THE_LEADER, 2",
    "REFUSES_THE_LEADER, 3",
    "REFUSES_THE_LEADER, 4"
  })
  void theStateServiceFailsInTwoWaysWhileUsersCancelAndAsk(Before before, long seed) {
    world(seed, 14);
    int outMs = (int) (timing(seed).cancelS() * 1_000) + 12_000;
    jobs(4_000, 20, 700, Urgency.NORMAL, 3, 200);
    jobs(4_500, 30, 900, Urgency.NORMAL, 1, 6);
    w.closeLooks(true);
    w.clock.at(30_000, () -> before(before));
    // Up to the very end of the service.
    cancellations(30_500, 22, 400);
    w.clock.at(39_000, () -> w.state.outage(true));
    w.clock.at(39_000 + outMs, () -> w.state.outage(false));
    runUntilOver(39_000 + outMs, 60_000);
    cameAbout("cancelled while on", 4, w.checker.cancelledWhileOn());
    cameAbout("questions not answered", 20, w.answers(503));
  }

  private void before(Before before) {
    if (before == Before.ANSWERS_SLOWLY) {
      w.network.slow(SimulatedCluster.STATE, 900);
      w.clock.at(20_000, () -> w.network.slow(SimulatedCluster.STATE, 0));
    } else {
      int leader = Math.max(0, w.leader());
      for (SimulatedCluster.Refusal kind : SimulatedCluster.Refusal.values()) {
        w.refuse(leader, kind, true);
        w.clock.at(20_000, () -> w.refuse(leader, kind, false));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void oneTaskJobsComeFourASecondAndAQuarterIsCancelled(long seed) {
    world(seed, 14);
    int count = 480;
    for (int i = 0; i < count; i++) {
      boolean cancelled = i % 4 == 3;
      w.clock.at(
          // Four a second, many at once: what comes together is written together.
          FROM_MS + i / 24 * 6_000,
          () -> {
            String uid = submit("blue", Urgency.NORMAL, 1, 0.5, 4);
            if (cancelled) {
              w.clock.at(3_000, () -> w.cancel(uid, 0));
            }
          });
    }
    double[] before = new double[2];
    w.clock.at(
        FROM_MS,
        () -> {
          before[0] = w.state.requests.asked();
          before[1] = w.state.changes.amount();
        });
    double[] after = new double[2];
    w.clock.at(
        FROM_MS + count * 250,
        () -> {
          after[0] = w.state.requests.asked();
          after[1] = w.state.changes.amount();
        });
    runUntilOver(FROM_MS + count * 250, 90_000);
    cameAbout("cancelled while on", 10, w.checker.cancelledWhileOn());
    cameAbout("done", count * 3 / 4, w.checker.jobsDone());
    double requests = (after[0] - before[0]) / count;
    double changes = (after[1] - before[1]) / count;
    // Measured: 3.7 to 4.3 requests, mostly reads, and 1.3 changes; 2.3 changes if each went alone.
    assertTrue(requests <= 4.6, requests + " requests for a job");
    assertTrue(changes <= 1.6, changes + " changes for a job");
    cameAbout("requests below the rate", 50, 120 - Math.round(w.state.requests.mostInASecond()));
    assertEquals(0, w.state.requests.refused(), "requests beyond the state service's rate");
    assertEquals(0, w.state.changes.refused(), "changes beyond the state service's rate");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void oldReportsArriveAfterNewerOnes(long seed) {
    world(seed, 8);
    w.network.lateReports(0.5, false);
    jobs(4_000, 60, 1_100, Urgency.HIGH, 3, 12);
    int deafMs = (int) (timing(seed).leaseS() * 1_300);
    int[] sessions = {0};
    for (int at = 20_000; at < 70_000; at += 12_000) {
      w.clock.at(
          at,
          () -> {
            List<SimWorker> all = w.cloud.workers().stream().filter(x -> !x.gone()).toList();
            if (!all.isEmpty()) {
              SimWorker x = all.get(random.nextInt(all.size()));
              sessions[0]++;
              w.network.deaf(x.host(), true);
              w.clock.at(deafMs, () -> w.network.deaf(x.host(), false));
            }
          });
    }
    w.clock.at(45_000, () -> w.crash(Math.max(0, w.leader()), 800));
    cancellations(24_000, 12, 4_000);
    w.clock.at(100_000, () -> w.network.lateReports(0, false));
    runUntilOver(100_000, 220_000);
    cameAbout("old reports", 50, w.oldReports());
    cameAbout("sessions ended", 3, sessions[0]);
    cameAbout("cancelled while on", 5, w.checker.cancelledWhileOn());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void usersAskEverywhereWithinMillisecondsOfEachWord(long seed) {
    world(seed, 14);
    w.closeLooks(true);
    jobs(FROM_MS, 60, 800, Urgency.NORMAL, 1, 5);
    cancellations(FROM_MS + 3_000, 25, 1_700);
    runUntilOver(70_000, 60_000);
    cameAbout("answers", 1_200, w.answers(200));
    cameAbout("cancelled while on", 8, w.checker.cancelledWhileOn());
    cameAbout("done", 15, w.checker.jobsDone());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void tasksOfSmallJobsEndFarApartAcrossAChangeOfLeader(long seed) {
    world(seed, 3);
    for (int i = 0; i < 10; i++) {
      int tasks = 2 + i % 2;
      // A machine has room for one task, so that they run one after another.
      w.clock.at(4_000 + i * 1_500, () -> submit("blue", Urgency.NORMAL, tasks, 12, 9 + seed % 3));
    }
    Set<String> across = new HashSet<>();
    for (int at = 30_000; at <= 78_000; at += 12_000) {
      w.clock.at(
          at,
          () -> {
            submitted.stream()
                .filter(uid -> w.checker.tasksDone(uid) > 0 && !w.checker.isDone(uid))
                .forEach(across::add);
            w.crash(Math.max(0, w.leader()), 400);
          });
    }
    runUntilOver(100_000, 200_000);
    cameAbout("jobs with a task done and one to go at a change", 2, across.size());
    cameAbout("terms", 4, w.terms());
    assertEquals(10, w.checker.jobsDone());
    assertEquals(25, w.checker.starts(), "what was done is not done again");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void aRequestMeetsTheEndOfTheLastTask(long seed) {
    world(seed, 14);
    w.cancelAtEnd(0.6);
    w.closeLooks(true);
    jobs(FROM_MS, 80, 600, Urgency.NORMAL, 2, 5);
    runUntilOver(80_000, 60_000);
    long aborted = submitted.stream().filter(uid -> w.checker.isDone(uid)).count();
    cameAbout("done", 20, w.checker.jobsDone());
    cameAbout("called off though all its tasks had ended", 5, aborted - w.checker.jobsDone());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void jobsAreCancelledWhileTheLeadChangesHands(long seed) {
    world(seed, 14);
    jobs(4_000, 40, 700, Urgency.NORMAL, 2, 250);
    for (int round = 0; round < 2; round++) {
      int at = 36_000 + round * 30_000;
      cancellations(at - 1_500, 12, 500);
      boolean cut = (round + seed) % 2 == 0;
      w.clock.at(
          at,
          () -> {
            int leader = Math.max(0, w.leader());
            if (cut) {
              w.nodeCut(leader, SimulatedCluster.CutMode.REFUSE, 20_000);
            } else {
              w.crash(leader, 300);
            }
          });
    }
    long cancelMs = (long) (timing(seed).cancelS() * 1_000);
    runUntilOver(90_000, (int) cancelMs + 20_000);
    cameAbout("terms", 3, w.terms());
    cameAbout("cancelled while on", 12, w.checker.cancelledWhileOn());
  }

  /** The id counts, whatever else the body says, from the moment at which any node knows it. */
  private void submitAndRepeatWithMistakes() {
    String uid = submit("blue", Urgency.NORMAL, 1, 1, 6);
    ObjectNode body = Cbor.readMap(SimulatedCluster.encode(w.spec(uid))).orElseThrow();
    body.remove("cores");
    byte[] lacking = Cbor.write(body);
    for (int i = 0; i < 40; i++) {
      int node = i % NODES;
      w.clock.at(i * 3L, () -> w.submitAt(node, uid, lacking));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void badInputAtAllNodes(long seed) {
    world(seed, 14);
    w.oddRequests(true);
    w.closeLooks(true);
    for (int i = 0; i < 60; i++) {
      w.clock.at(FROM_MS + i * 1_000, this::submitAndRepeatWithMistakes);
    }
    cancellations(FROM_MS + 4_000, 10, 5_000);
    w.clock.at(40_000, () -> w.crash(Math.max(0, w.leader()), 600));
    w.clock.at(80_000, () -> w.oddRequests(false));
    runUntilOver(80_000, 60_000);
    IntStream.of(400, 422, 404).forEach(s -> cameAbout("answers " + s, 30, w.answers(s)));
    cameAbout("done", 25, w.checker.jobsDone());
  }
}
