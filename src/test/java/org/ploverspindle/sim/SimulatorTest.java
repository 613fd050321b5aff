package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.state.StateStore;

/**
 * Simulated faults have the effect that their names state. A fault without an effect would let the
 * tests that inject it pass without testing anything.
 */
class SimulatorTest {
  private final SimulatedCluster cluster = new SimulatedCluster(1, 3, 14, List.of("a"));

  /** Submits a job of one task and returns its worker, within 10 ms after the task started. */
  private SimWorker submitAndAwaitStart(JobSpec spec) {
    cluster.clock.after(5_000, () -> cluster.submitAndPoll(spec));
    while (cluster.checker.hostsOf(spec.uid()).isEmpty()
        || cluster.checker.firstStartMs(spec.uid()) < 0) {
      assertTrue(cluster.clock.nowMs() < 60_000, "task did not start within 60 s");
      cluster.clock.runUntil(cluster.clock.nowMs() + 10);
    }
    String host = cluster.checker.hostsOf(spec.uid()).get(0);
    return cluster.cloud.workers().stream()
        .filter(worker -> worker.host().equals(host))
        .findFirst()
        .orElseThrow();
  }

  private JobSpec newJob(double expectedS) {
    JobSpec spec = DayEndCriteriaTest.job(cluster, "a", Priority.HIGH, 1, 1, expectedS, 0);
    cluster.checker.submitted(spec);
    return spec;
  }

  private void advance(long durationMs) {
    cluster.clock.runUntil(cluster.clock.nowMs() + durationMs);
  }

  @Test
  void tasksMakeNoProgressWhileTheirMachineHangs() {
    JobSpec spec = newJob(10);
    SimWorker machine = submitAndAwaitStart(spec);
    machine.hang(3_000);
    advance(12_900);
    assertFalse(cluster.checker.isDone(spec.uid()));
    advance(200);
    assertTrue(cluster.checker.isDone(spec.uid()));
  }

  @Test
  void directCommandsWaitUntilTheirMachineResumes() {
    SimWorker machine = submitAndAwaitStart(newJob(60));
    long sentMs = cluster.clock.nowMs();
    List<Long> answeredMs = new ArrayList<>();
    machine.hang(5_000);
    machine.executeDirect(
        0, 1, List.of(), sentMs, response -> answeredMs.add(cluster.clock.nowMs()));
    advance(20_000);
    assertEquals(List.of(sentMs + 5_000), answeredMs);
  }

  @Test
  void machineThatHangsBeyondItsLeaseLosesItsTasks() {
    JobSpec spec = newJob(60);
    SimWorker machine = submitAndAwaitStart(spec);
    machine.hang(30_000);
    advance(15_000);
    assertFalse(
        cluster.checker.hostsOf(spec.uid()).contains(machine.host()),
        "task still counts as running after its worker lease expired");
    advance(100_000);
    assertTrue(cluster.checker.isDone(spec.uid()), "task did not complete on another machine");
    assertEquals(List.of(), cluster.checker.violations());
  }

  @Test
  void machineWithDroppedRequestsAnswersCommandsAndItsLeaseExpires() {
    JobSpec spec = newJob(60);
    SimWorker machine = submitAndAwaitStart(spec);
    cluster.network.dropRequestsFrom(machine.host(), true);
    advance(8_000);
    assertFalse(cluster.checker.hostsOf(spec.uid()).contains(machine.host()));
    int[] responses = new int[1];
    machine.executeDirect(0, 1, List.of(), 0, response -> responses[0]++);
    assertEquals(1, responses[0]);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void unansweredWritesAreExecutedLateOrAtOnce(boolean immediate) {
    advance(20_000);
    JobSpec spec = newJob(5);
    cluster.network.setUnansweredWrites(1, immediate);
    cluster.submitAndPoll(spec);
    advance(500);
    long changesAfter500Ms =
        cluster.state.readChanges("", 0) instanceof StateStore.ChangesResult.Changes result
            ? result.changes().stream().filter(change -> concerns(change, spec)).count()
            : -1;
    assertEquals(immediate ? 1 : 0, changesAfter500Ms);
    assertTrue(
        cluster.checker.unfinished().isEmpty(),
        "a user got a response although all of them are lost");
    cluster.network.setUnansweredWrites(0, false);
    // The write is executed within 12 s; then follow a retry, a machine's boot, the run and a poll.
    advance(60_000);
    assertEquals(List.of(spec.uid()), cluster.checker.answeredDone());
  }

  private static boolean concerns(StateStore.ChangedEntry change, JobSpec spec) {
    return change.value().map(value -> value.has(spec.uid())).orElse(false);
  }

  @ParameterizedTest
  @EnumSource(SimulatedCluster.PartitionMode.class)
  void partitionedLeaderIsReplacedAndBecomesReadyAgain(SimulatedCluster.PartitionMode mode) {
    advance(20_000);
    int oldLeader = cluster.leader();
    cluster.partitionController(oldLeader, mode, 20_000);
    advance(15_000);
    // The old leader may not have learnt that it was replaced.
    assertTrue(
        IntStream.range(0, cluster.controllerCount)
            .anyMatch(i -> i != oldLeader && cluster.isLeading(i)),
        "no other controller leads");
    advance(15_000);
    assertTrue(cluster.isReady(oldLeader), "controller is not ready after the partition ended");
  }

  @Test
  void heldPacketsArriveInOrderWhenThePartitionEnds() {
    List<Integer> arrived = new ArrayList<>();
    cluster.network.holdPackets("x", "y", true);
    for (int i = 0; i < 5; i++) {
      int packet = i;
      cluster.network.request("x", "y", () -> arrived.add(packet), () -> {});
    }
    advance(60_000);
    assertEquals(List.of(), arrived);
    cluster.network.holdPackets("x", "y", false);
    advance(10);
    assertEquals(List.of(0, 1, 2, 3, 4), arrived);
  }

  @Test
  void runningJobsAreCancelledWithin200MsWhileTheirMachinesHang() {
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      jobs.add(newJob(100));
      cluster.submitAndPoll(jobs.get(i));
    }
    advance(40_000);
    assertEquals(6, cluster.checker.running().size());
    cluster.cancelRunning(5, 10_000);
    advance(250);
    assertEquals(1, cluster.checker.running().size());
    assertTrue(cluster.cloud.workers().stream().anyMatch(worker -> !worker.isHealthy()));
    advance(60_000);
    assertEquals(List.of(), cluster.checker.violations());
  }

  @Test
  void jobsAreCancelledWhenTheirLastTaskEnds() {
    cluster.setCancelAtCompletionShare(1);
    for (int i = 0; i < 20; i++) {
      JobSpec spec = newJob(5);
      cluster.clock.after(5_000 + i * 1_000, () -> cluster.submitAndPoll(spec));
    }
    advance(100_000);
    int done = cluster.checker.answeredDone().size();
    assertTrue(done > 0 && done < 20, done + " jobs done; expected some done and some cancelled");
    assertEquals(List.of(), cluster.checker.violations());
  }
}
