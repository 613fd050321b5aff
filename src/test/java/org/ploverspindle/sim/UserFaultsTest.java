package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.model.Priority;
import org.ploverspindle.net.Cbor;

/** State service faults, overload and invalid requests while users poll, submit and cancel. */
class UserFaultsTest extends UserFaultsDay {
  /**
   * 30 % of the transactions are committed without a response. Other controllers read them before
   * their writer knows of the commit; it must take such a write neither for done nor for failed.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void rulesHoldWhenCommittedWritesGetNoResponse(long seed) {
    startCluster(seed, 10);
    cluster.clock.after(FIRST_JOB_MS, () -> cluster.network.setUnansweredWrites(0.3, true));
    cluster.clock.after(FIRST_JOB_MS, () -> cluster.setRequestBursts(true));
    submitJobs(FIRST_JOB_MS, 50, 1_000, Priority.NORMAL, 2, 8);
    scheduleCancellations(FIRST_JOB_MS + 10_000, 12, 4_000);
    cluster.clock.after(35_000, () -> cluster.crash(Math.max(0, cluster.leader()), 1_000));
    cluster.clock.after(70_000, () -> cluster.network.setUnansweredWrites(0, true));
    runAndCheckRules(70_000, 100_000);
    assertAtLeast(
        "committed transactions without a response", 20, cluster.stateAccess.unansweredWrites());
    assertAtLeast("jobs cancelled while tasks ran", 3, cluster.checker.cancelledWithRunningTasks());
    assertAtLeast("jobs done", 15, cluster.checker.jobsDone());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void overloadWithLateRequestsIsServedInTheEnd(long seed) {
    startCluster(seed, 4, 6);
    cluster.clock.after(FIRST_JOB_MS, () -> cluster.network.setLateRequestShare(0.15));
    submitJobs(FIRST_JOB_MS, 20, 1_500, Priority.NORMAL, 4, 15);
    submitJobs(FIRST_JOB_MS + 500, 10, 4_000, Priority.HIGH, 3, 6);
    for (int i = 0; i < 6; i++) {
      cluster.clock.after(
          FIRST_JOB_MS + i * 5_000, () -> submit("red", Priority.CRITICAL, 8, 1, 5));
    }
    scheduleCancellations(FIRST_JOB_MS + 15_000, 6, 6_000);
    long[] waiting = {0};
    cluster.clock.after(50_000, () -> waiting[0] = cluster.checker.neverStartedCount());
    cluster.clock.after(80_000, () -> cluster.network.setLateRequestShare(0));
    runAndCheckRules(80_000, 500_000);
    assertAtLeast("jobs waiting for capacity at 50 s", 5, waiting[0]);
    assertAtLeast("jobs done", 25, cluster.checker.jobsDone());
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
  void cancellationsHoldThroughADegradedStateServiceAndItsOutage(
      StateServiceFault fault, long seed) {
    startCluster(seed, 14);
    int outageMs = (int) (timing(seed).cancelS() * 1_000) + 12_000;
    submitJobs(4_000, 20, 700, Priority.NORMAL, 3, 200);
    submitJobs(4_500, 30, 900, Priority.NORMAL, 1, 6);
    cluster.setRequestBursts(true);
    cluster.clock.after(30_000, () -> degradeStateService(fault));
    // One every 400 ms; the last is sent 100 ms before the outage begins.
    scheduleCancellations(30_500, 22, 400);
    cluster.clock.after(39_000, () -> cluster.state.setOutage(true));
    cluster.clock.after(39_000 + outageMs, () -> cluster.state.setOutage(false));
    runAndCheckRules(39_000 + outageMs, 60_000);
    assertAtLeast("jobs cancelled while tasks ran", 4, cluster.checker.cancelledWithRunningTasks());
    assertAtLeast("requests answered 503", 20, cluster.users.responseCount(503));
  }

  private void degradeStateService(StateServiceFault fault) {
    if (fault == StateServiceFault.ANSWERS_SLOWLY) {
      cluster.network.setMaxDelay(SimulatedCluster.STATE, 900);
      cluster.clock.after(20_000, () -> cluster.network.setMaxDelay(SimulatedCluster.STATE, 0));
    } else {
      int leader = Math.max(0, cluster.leader());
      for (SimulatedCluster.RequestKind kind : SimulatedCluster.RequestKind.values()) {
        cluster.setRefused(leader, kind, true);
        cluster.clock.after(20_000, () -> cluster.setRefused(leader, kind, false));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void fourOneTaskJobsPerSecondStayWithinTheStateServiceRates(long seed) {
    startCluster(seed, 14);
    int count = 480;
    for (int i = 0; i < count; i++) {
      boolean cancelled = i % 4 == 3;
      cluster.clock.after(
          // 24 jobs every 6 s, four per second on average: jobs that arrive together share writes.
          FIRST_JOB_MS + i / 24 * 6_000,
          () -> {
            String uid = submit("blue", Priority.NORMAL, 1, 0.5, 4);
            if (cancelled) {
              cluster.clock.after(3_000, () -> cluster.cancel(uid, 0));
            }
          });
    }
    double[] before = new double[2];
    cluster.clock.after(
        FIRST_JOB_MS,
        () -> {
          before[0] = cluster.state.requestLimiter.requestCount();
          before[1] = cluster.state.changeLimiter.requestedAmount();
        });
    double[] after = new double[2];
    cluster.clock.after(
        FIRST_JOB_MS + count * 250,
        () -> {
          after[0] = cluster.state.requestLimiter.requestCount();
          after[1] = cluster.state.changeLimiter.requestedAmount();
        });
    runAndCheckRules(FIRST_JOB_MS + count * 250, 90_000);
    assertAtLeast(
        "jobs cancelled while tasks ran", 10, cluster.checker.cancelledWithRunningTasks());
    assertAtLeast("jobs done", count * 3 / 4, cluster.checker.jobsDone());
    double requests = (after[0] - before[0]) / count;
    double changes = (after[1] - before[1]) / count;
    // Measured per job: 3.7 to 4.3 requests, mostly reads, and 1.3 changes; without shared writes
    // 2.3 changes.
    assertTrue(requests <= 4.6, requests + " requests per job, 4.6 allowed");
    assertTrue(changes <= 1.6, changes + " changes per job, 1.6 allowed");
    assertAtLeast(
        "requests per second left below the rate of 120",
        50,
        120 - Math.round(cluster.state.requestLimiter.peakPerSecond()));
    assertEquals(
        0,
        cluster.state.requestLimiter.refusedCount(),
        "requests refused above the state service's rate");
    assertEquals(
        0,
        cluster.state.changeLimiter.refusedCount(),
        "changes refused above the state service's rate");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void rulesHoldWhenAllControllersArePolledRightAfterEachAnswer(long seed) {
    startCluster(seed, 14);
    cluster.setRequestBursts(true);
    submitJobs(FIRST_JOB_MS, 60, 800, Priority.NORMAL, 1, 5);
    scheduleCancellations(FIRST_JOB_MS + 3_000, 25, 1_700);
    runAndCheckRules(70_000, 60_000);
    assertAtLeast("requests answered 200", 1_200, cluster.users.responseCount(200));
    assertAtLeast("jobs cancelled while tasks ran", 8, cluster.checker.cancelledWithRunningTasks());
    assertAtLeast("jobs done", 15, cluster.checker.jobsDone());
  }

  /**
   * Submits a job, and beside it 40 times, one every 3 ms, the same uid in a body without a
   * required field. As soon as a user has the job's acceptance, no controller may refuse the uid.
   */
  private void submitAndRepeatInvalid() {
    String uid = submit("blue", Priority.NORMAL, 1, 1, 6);
    ObjectNode body = Cbor.readMap(SimulatedCluster.encode(cluster.spec(uid))).orElseThrow();
    body.remove("cores");
    byte[] bodyWithoutCores = Cbor.write(body);
    for (int i = 0; i < 40; i++) {
      int node = i % CONTROLLERS;
      cluster.clock.after(i * 3L, () -> cluster.submitAt(node, uid, bodyWithoutCores));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void invalidRequestsAtAllControllersAreRefused(long seed) {
    startCluster(seed, 14);
    cluster.setInvalidRequests(true);
    cluster.setRequestBursts(true);
    for (int i = 0; i < 60; i++) {
      cluster.clock.after(FIRST_JOB_MS + i * 1_000, this::submitAndRepeatInvalid);
    }
    scheduleCancellations(FIRST_JOB_MS + 4_000, 10, 5_000);
    cluster.clock.after(40_000, () -> cluster.crash(Math.max(0, cluster.leader()), 600));
    cluster.clock.after(80_000, () -> cluster.setInvalidRequests(false));
    runAndCheckRules(80_000, 60_000);
    IntStream.of(400, 422, 404)
        .forEach(
            status ->
                assertAtLeast(
                    "requests answered " + status, 30, cluster.users.responseCount(status)));
    assertAtLeast("jobs done", 25, cluster.checker.jobsDone());
  }
}
