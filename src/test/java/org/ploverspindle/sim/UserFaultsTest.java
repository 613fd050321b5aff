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
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;

/**
 * Combinations of faults during users' polls, submissions and cancellations. Each seed uses the
 * report, lease and cancellation times of one deployment, and each test also asserts that its
 * combination of faults occurred.
 */
class UserFaultsTest {
  private static final int NODES = 3;
  private static final int FROM_MS = 12_000;

  /**
   * A leader hears of what another node is about to confirm by a hint, or by its next read; what it
   * orders before that is in flight, and must be gone in time.
   */
  private static final long MAX_START_AFTER_CANCELLATION_MS = 50;

  /** Less than a leader whose writes fail keeps the lead, and about a report period. */
  private static final int UNRECORDED_FOR_MS = 4_500;

  private static final List<Settings.WorkerLimits> TIMINGS =
      List.of(
          new Settings.WorkerLimits(3, 14, 39),
          new Settings.WorkerLimits(1.5, 10, 40),
          new Settings.WorkerLimits(5, 26.5, 51.5),
          new Settings.WorkerLimits(5, 26.5, 56.5));

  private final Random random = new Random(11);
  private final List<String> submitted = new ArrayList<>();
  private SimulatedCluster cluster;

  private void startCluster(long seed, int capacity) {
    startCluster(seed, capacity, 0);
  }

  private void startCluster(long seed, int capacity, double redCores) {
    cluster =
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

  private String submit(String team, Priority urgency, int tasks, double cores, double runS) {
    JobSpec spec =
        JobSpecFixtures.batch(
            cluster.newUid(), "c-" + urgency, team, urgency, tasks, cores, 0.1, runS, 0);
    submitted.add(spec.uid());
    cluster.user(spec);
    return spec.uid();
  }

  /** One job after another, at a spacing. */
  private void jobs(int fromMs, int count, int everyMs, Priority urgency, int tasks, double runS) {
    for (int i = 0; i < count; i++) {
      cluster.clock.at(fromMs + i * everyMs, () -> submit("blue", urgency, tasks, 1, runS));
    }
  }

  /** Users cancel some of what has been submitted and is not over, one after another. */
  private void cancellations(int fromMs, int count, int everyMs) {
    for (int i = 0; i < count; i++) {
      cluster.clock.at(
          fromMs + i * everyMs,
          () -> {
            List<String> running = cluster.checker.running();
            if (!running.isEmpty()) {
              cluster.cancel(running.get(random.nextInt(running.size())), 0);
            }
          });
    }
  }

  private void runAndCheckRules(int faultsEndMs, int recoveryMs) {
    cluster.clock.at(faultsEndMs, cluster::troublesAreOver);
    cluster.clock.runUntil(faultsEndMs + recoveryMs);
    assertEquals(List.of(), cluster.checker.broken());
    long lateMs =
        cluster.checker.lateStarts().stream()
            .mapToLong(InvariantChecker.LateStart::orderedAfterMs)
            .max()
            .orElse(0);
    assertTrue(
        lateMs <= MAX_START_AFTER_CANCELLATION_MS,
        "ordered " + lateMs + " ms after a confirmed cancellation");
    assertEquals(0, cluster.checker.neverBegun(), "accepted jobs that never began");
  }

  private static void assertAtLeast(String what, long least, long found) {
    assertTrue(found >= least, what + ": " + found + ", at least " + least + " expected");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void writesWithLostAnswersAreReadByOtherControllers(long seed) {
    startCluster(seed, 10);
    cluster.clock.at(FROM_MS, () -> cluster.network.lateWrites(0.3, true));
    cluster.clock.at(FROM_MS, () -> cluster.closeLooks(true));
    jobs(FROM_MS, 50, 1_000, Priority.NORMAL, 2, 8);
    cancellations(FROM_MS + 10_000, 12, 4_000);
    cluster.clock.at(35_000, () -> cluster.crash(Math.max(0, cluster.leader()), 1_000));
    cluster.clock.at(70_000, () -> cluster.network.lateWrites(0, true));
    runAndCheckRules(70_000, 100_000);
    assertAtLeast("transactions that stand unanswered", 20, cluster.stateAccess.unansweredWrites());
    assertAtLeast("cancelled while on", 3, cluster.checker.cancelledWhileOn());
    assertAtLeast("done", 15, cluster.checker.jobsDone());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void overloadOverSlowLinks(long seed) {
    startCluster(seed, 4, 6);
    cluster.clock.at(FROM_MS, () -> cluster.network.lateShare(0.15));
    jobs(FROM_MS, 20, 1_500, Priority.NORMAL, 4, 15);
    jobs(FROM_MS + 500, 10, 4_000, Priority.HIGH, 3, 6);
    for (int i = 0; i < 6; i++) {
      cluster.clock.at(FROM_MS + i * 5_000, () -> submit("red", Priority.CRITICAL, 8, 1, 5));
    }
    cancellations(FROM_MS + 15_000, 6, 6_000);
    long[] waiting = {0};
    cluster.clock.at(50_000, () -> waiting[0] = cluster.checker.neverBegun());
    cluster.clock.at(80_000, () -> cluster.network.lateShare(0));
    runAndCheckRules(80_000, 500_000);
    assertAtLeast("jobs that wait for room", 5, waiting[0]);
    assertAtLeast("done", 25, cluster.checker.jobsDone());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void workersReachNoControllerWhileDirectCommandsArrive(long seed) {
    startCluster(seed, 8);
    jobs(4_000, 75, 1_000, Priority.HIGH, 2, 9);
    // Longer than a lease: they are on those machines until it runs out.
    jobs(4_500, 10, 1_500, Priority.HIGH, 2, 60);
    int unreachableMs = (int) (timing(seed).leaseS() * 1_500);
    Set<String> unreachable = new HashSet<>();
    for (int round = 0; round < 2; round++) {
      boolean all = round == 1;
      cluster.clock.at(
          20_000 + round * (unreachableMs + 8_000),
          () -> {
            for (SimWorker x : cluster.cloud.workers()) {
              if (!x.gone() && (all || random.nextInt(3) == 0)) {
                unreachable.add(x.host());
                cluster.network.machineMute(x.host(), true);
                cluster.clock.at(unreachableMs, () -> cluster.network.machineMute(x.host(), false));
              }
            }
          });
    }
    cluster.clock.at(
        32_000 + unreachableMs, () -> cluster.crash(Math.max(0, cluster.leader()), 500));
    cancellations(24_000, 10, 4_000);
    runAndCheckRules(30_000 + 2 * unreachableMs + 8_000, 120_000);
    assertAtLeast("machines that reached no controller", 2, unreachable.size());
    assertAtLeast("launches that reached them directly", 1, cluster.directCommands.toMute());
    assertAtLeast("cancelled while on", 2, cluster.checker.cancelledWhileOn());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void directCommandsAreDelayedAndTheWorkerResumes(long seed) {
    startCluster(seed, 8);
    jobs(4_000, 110, 600, Priority.HIGH, 1, 15);
    cluster.network.heldCommands(0.7);
    cluster.clock.at(80_000, () -> cluster.network.heldCommands(0));
    for (int at = FROM_MS; at < 70_000; at += 3_000) {
      cluster.clock.at(at, () -> cluster.cloud.workers().forEach(this::delay));
    }
    cancellations(FROM_MS + 4_000, 20, 2_500);
    cluster.clock.at(40_000, () -> cluster.crash(Math.max(0, cluster.leader()), 500));
    runAndCheckRules(80_000, 120_000);
    assertAtLeast("launches carried out late", 5, cluster.directCommands.late());
    assertAtLeast("cancelled while on", 8, cluster.checker.cancelledWhileOn());
  }

  /** It stands still, or what goes between it and the leader is held back, for some seconds. */
  private void delay(SimWorker x) {
    int leader = cluster.leader();
    if (x.gone() || leader < 0 || random.nextInt(2) > 0) {
      return;
    }
    int forMs = 1_600 + random.nextInt(6_000);
    if (random.nextBoolean()) {
      x.hang(forMs);
    } else {
      cluster.network.hold("n" + leader, x.host(), true);
      cluster.clock.at(forMs, () -> cluster.network.hold("n" + leader, x.host(), false));
    }
  }

  /** How the state service is degraded before its outage. */
  enum StateServiceFault {
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
  void stateServiceDegradesThenFailsDuringCancellationsAndPolls(
      StateServiceFault fault, long seed) {
    startCluster(seed, 14);
    int outMs = (int) (timing(seed).cancelS() * 1_000) + 12_000;
    jobs(4_000, 20, 700, Priority.NORMAL, 3, 200);
    jobs(4_500, 30, 900, Priority.NORMAL, 1, 6);
    cluster.closeLooks(true);
    cluster.clock.at(30_000, () -> degradeStateService(fault));
    // Up to the very end of the service.
    cancellations(30_500, 22, 400);
    cluster.clock.at(39_000, () -> cluster.state.outage(true));
    cluster.clock.at(39_000 + outMs, () -> cluster.state.outage(false));
    runAndCheckRules(39_000 + outMs, 60_000);
    assertAtLeast("cancelled while on", 4, cluster.checker.cancelledWhileOn());
    assertAtLeast("questions not answered", 20, cluster.users.answers(503));
  }

  private void degradeStateService(StateServiceFault fault) {
    if (fault == StateServiceFault.ANSWERS_SLOWLY) {
      cluster.network.slow(SimulatedCluster.STATE, 900);
      cluster.clock.at(20_000, () -> cluster.network.slow(SimulatedCluster.STATE, 0));
    } else {
      int leader = Math.max(0, cluster.leader());
      for (SimulatedCluster.Refusal kind : SimulatedCluster.Refusal.values()) {
        cluster.refuse(leader, kind, true);
        cluster.clock.at(20_000, () -> cluster.refuse(leader, kind, false));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void fourOneTaskJobsASecondWithAQuarterCancelled(long seed) {
    startCluster(seed, 14);
    int count = 480;
    for (int i = 0; i < count; i++) {
      boolean cancelled = i % 4 == 3;
      cluster.clock.at(
          // Four a second, many at once: what comes together is written together.
          FROM_MS + i / 24 * 6_000,
          () -> {
            String uid = submit("blue", Priority.NORMAL, 1, 0.5, 4);
            if (cancelled) {
              cluster.clock.at(3_000, () -> cluster.cancel(uid, 0));
            }
          });
    }
    double[] before = new double[2];
    cluster.clock.at(
        FROM_MS,
        () -> {
          before[0] = cluster.state.requests.asked();
          before[1] = cluster.state.changes.amount();
        });
    double[] after = new double[2];
    cluster.clock.at(
        FROM_MS + count * 250,
        () -> {
          after[0] = cluster.state.requests.asked();
          after[1] = cluster.state.changes.amount();
        });
    runAndCheckRules(FROM_MS + count * 250, 90_000);
    assertAtLeast("cancelled while on", 10, cluster.checker.cancelledWhileOn());
    assertAtLeast("done", count * 3 / 4, cluster.checker.jobsDone());
    double requests = (after[0] - before[0]) / count;
    double changes = (after[1] - before[1]) / count;
    // Measured: 3.7 to 4.3 requests, mostly reads, and 1.3 changes; 2.3 changes if each went alone.
    assertTrue(requests <= 4.6, requests + " requests for a job");
    assertTrue(changes <= 1.6, changes + " changes for a job");
    assertAtLeast(
        "requests below the rate", 50, 120 - Math.round(cluster.state.requests.mostInASecond()));
    assertEquals(0, cluster.state.requests.refused(), "requests beyond the state service's rate");
    assertEquals(0, cluster.state.changes.refused(), "changes beyond the state service's rate");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void staleReportsArriveAfterNewerOnes(long seed) {
    startCluster(seed, 8);
    cluster.network.lateReports(0.5, false);
    jobs(4_000, 60, 1_100, Priority.HIGH, 3, 12);
    int lostAnswersMs = (int) (timing(seed).leaseS() * 1_300);
    int[] sessions = {0};
    for (int at = 20_000; at < 70_000; at += 12_000) {
      cluster.clock.at(
          at,
          () -> {
            List<SimWorker> all = cluster.cloud.workers().stream().filter(x -> !x.gone()).toList();
            if (!all.isEmpty()) {
              SimWorker x = all.get(random.nextInt(all.size()));
              sessions[0]++;
              cluster.network.deaf(x.host(), true);
              cluster.clock.at(lostAnswersMs, () -> cluster.network.deaf(x.host(), false));
            }
          });
    }
    cluster.clock.at(45_000, () -> cluster.crash(Math.max(0, cluster.leader()), 800));
    cancellations(24_000, 12, 4_000);
    cluster.clock.at(100_000, () -> cluster.network.lateReports(0, false));
    runAndCheckRules(100_000, 220_000);
    assertAtLeast("old reports", 50, cluster.reports.copiesToLeader());
    assertAtLeast("sessions ended", 3, sessions[0]);
    assertAtLeast("cancelled while on", 5, cluster.checker.cancelledWhileOn());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void pollsAtAllNodesWithinMillisecondsOfEachAnswer(long seed) {
    startCluster(seed, 14);
    cluster.closeLooks(true);
    jobs(FROM_MS, 60, 800, Priority.NORMAL, 1, 5);
    cancellations(FROM_MS + 3_000, 25, 1_700);
    runAndCheckRules(70_000, 60_000);
    assertAtLeast("answers", 1_200, cluster.users.answers(200));
    assertAtLeast("cancelled while on", 8, cluster.checker.cancelledWhileOn());
    assertAtLeast("done", 15, cluster.checker.jobsDone());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void tasksOfSmallJobsEndFarApartAcrossLeaderChanges(long seed) {
    startCluster(seed, 3);
    for (int i = 0; i < 10; i++) {
      int tasks = 2 + i % 2;
      // A machine has room for one task, so that they run one after another.
      cluster.clock.at(
          4_000 + i * 1_500, () -> submit("blue", Priority.NORMAL, tasks, 12, 9 + seed % 3));
    }
    Set<String> across = new HashSet<>();
    for (int at = 30_000; at <= 78_000; at += 12_000) {
      cluster.clock.at(
          at,
          () -> {
            submitted.stream()
                .filter(uid -> cluster.checker.tasksDone(uid) > 0 && !cluster.checker.isDone(uid))
                .forEach(across::add);
            cluster.crash(Math.max(0, cluster.leader()), 400);
          });
    }
    runAndCheckRules(100_000, 200_000);
    assertAtLeast("jobs with a task done and one to go at a change", 2, across.size());
    assertAtLeast("terms", 4, cluster.terms());
    assertEquals(10, cluster.checker.jobsDone());
    assertEquals(25, cluster.checker.starts(), "what was done is not done again");
  }

  /**
   * The leader receives reports of completed tasks while its writes are refused, and crashes before
   * it could record them: until then the worker is the only record, and must not be told to forget.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void leadersCrashBeforeCompletionsAreRecorded(long seed) {
    startCluster(seed, 14);
    jobs(4_000, 100, 700, Priority.NORMAL, 2, 9);
    int[] unrecorded = {0};
    for (int at = 30_000; at <= 72_000; at += 14_000) {
      cluster.clock.at(at, () -> crashWithUnrecordedCompletions(unrecorded));
    }
    runAndCheckRules(80_000, 120_000);
    assertAtLeast("tasks completed while nothing could be recorded", 5, unrecorded[0]);
    assertAtLeast("terms", 4, cluster.terms());
    assertEquals(100, cluster.checker.jobsDone());
    assertEquals(200, cluster.checker.starts(), "what was done is not done again");
  }

  private void crashWithUnrecordedCompletions(int[] unrecorded) {
    int leader = Math.max(0, cluster.leader());
    int before = tasksDone();
    cluster.refuse(leader, SimulatedCluster.Refusal.WRITES, true);
    cluster.clock.at(
        UNRECORDED_FOR_MS,
        () -> {
          unrecorded[0] += tasksDone() - before;
          cluster.crash(leader, 400);
          cluster.refuse(leader, SimulatedCluster.Refusal.WRITES, false);
        });
  }

  private int tasksDone() {
    return submitted.stream().mapToInt(cluster.checker::tasksDone).sum();
  }

  /** The service's latency leaves time for the end to be recorded before the cancellation is. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void cancellationRacesWithTheEndOfTheLastTaskWhileTheStateServiceIsSlow(long seed) {
    startCluster(seed, 14);
    cluster.cancelAtEnd(0.6);
    cluster.clock.at(FROM_MS, () -> cluster.network.slow(SimulatedCluster.STATE, 300));
    cluster.clock.at(80_000, () -> cluster.network.slow(SimulatedCluster.STATE, 0));
    jobs(FROM_MS, 80, 600, Priority.NORMAL, 2, 5);
    runAndCheckRules(80_000, 60_000);
    long over = submitted.stream().filter(uid -> cluster.checker.isDone(uid)).count();
    assertAtLeast("done", 20, cluster.checker.jobsDone());
    assertAtLeast("cancelled though all its tasks had ended", 5, over - cluster.checker.jobsDone());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void cancellationRacesWithTheEndOfTheLastTask(long seed) {
    startCluster(seed, 14);
    cluster.cancelAtEnd(0.6);
    cluster.closeLooks(true);
    jobs(FROM_MS, 80, 600, Priority.NORMAL, 2, 5);
    runAndCheckRules(80_000, 60_000);
    long aborted = submitted.stream().filter(uid -> cluster.checker.isDone(uid)).count();
    assertAtLeast("done", 20, cluster.checker.jobsDone());
    assertAtLeast(
        "cancelled though all its tasks had ended", 5, aborted - cluster.checker.jobsDone());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void jobsAreCancelledDuringLeaderChanges(long seed) {
    startCluster(seed, 14);
    jobs(4_000, 40, 700, Priority.NORMAL, 2, 250);
    for (int round = 0; round < 2; round++) {
      int at = 36_000 + round * 30_000;
      cancellations(at - 1_500, 12, 500);
      boolean cut = (round + seed) % 2 == 0;
      cluster.clock.at(
          at,
          () -> {
            int leader = Math.max(0, cluster.leader());
            if (cut) {
              cluster.nodeCut(leader, SimulatedCluster.CutMode.REFUSE, 20_000);
            } else {
              cluster.crash(leader, 300);
            }
          });
    }
    long cancelMs = (long) (timing(seed).cancelS() * 1_000);
    runAndCheckRules(90_000, (int) cancelMs + 20_000);
    assertAtLeast("terms", 3, cluster.terms());
    assertAtLeast("cancelled while on", 12, cluster.checker.cancelledWhileOn());
  }

  /** The id counts, whatever else the body says, from the moment at which any node knows it. */
  private void submitAndRepeatInvalid() {
    String uid = submit("blue", Priority.NORMAL, 1, 1, 6);
    ObjectNode body = Cbor.readMap(SimulatedCluster.encode(cluster.spec(uid))).orElseThrow();
    body.remove("cores");
    byte[] lacking = Cbor.write(body);
    for (int i = 0; i < 40; i++) {
      int node = i % NODES;
      cluster.clock.at(i * 3L, () -> cluster.submitAt(node, uid, lacking));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void invalidInputAtAllNodes(long seed) {
    startCluster(seed, 14);
    cluster.oddRequests(true);
    cluster.closeLooks(true);
    for (int i = 0; i < 60; i++) {
      cluster.clock.at(FROM_MS + i * 1_000, this::submitAndRepeatInvalid);
    }
    cancellations(FROM_MS + 4_000, 10, 5_000);
    cluster.clock.at(40_000, () -> cluster.crash(Math.max(0, cluster.leader()), 600));
    cluster.clock.at(80_000, () -> cluster.oddRequests(false));
    runAndCheckRules(80_000, 60_000);
    IntStream.of(400, 422, 404)
        .forEach(s -> assertAtLeast("answers " + s, 30, cluster.users.answers(s)));
    assertAtLeast("done", 25, cluster.checker.jobsDone());
  }
}
