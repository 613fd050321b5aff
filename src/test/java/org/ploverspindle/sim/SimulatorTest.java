package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.state.StateStore;

/** The stand-ins' troubles are what they are called: a trouble that does nothing tests nothing. */
class SimulatorTest {
  private final SimulatedCluster w = new SimulatedCluster(1, 3, 14, List.of("a"));

  /** A job of one task, and the machine that it has been on for a moment. */
  private SimWorker machineOf(JobSpec spec) {
    w.clock.after(5_000, () -> w.submitAndPoll(spec));
    while (w.checker.hostsOf(spec.uid()).isEmpty() || w.checker.begunMs(spec.uid()) < 0) {
      assertTrue(w.clock.nowMs() < 60_000, "it begins");
      w.clock.runUntil(w.clock.nowMs() + 10);
    }
    String host = w.checker.hostsOf(spec.uid()).get(0);
    return w.cloud.workers().stream().filter(x -> x.host().equals(host)).findFirst().orElseThrow();
  }

  private JobSpec task(double runS) {
    JobSpec spec = DayEndCriteriaTest.job(w, "a", Priority.HIGH, 1, 1, runS, 0);
    w.checker.submitted(spec);
    return spec;
  }

  private void run(long forMs) {
    w.clock.runUntil(w.clock.nowMs() + forMs);
  }

  @Test
  void tasksDoNotProgressOnAMachineThatHangs() {
    JobSpec spec = task(10);
    SimWorker machine = machineOf(spec);
    machine.hang(3_000);
    run(12_900);
    assertFalse(w.checker.isDone(spec.uid()));
    run(200);
    assertTrue(w.checker.isDone(spec.uid()));
  }

  @Test
  void commandsWaitForAMachineThatHangs() {
    SimWorker machine = machineOf(task(60));
    long sentMs = w.clock.nowMs();
    List<Long> answeredMs = new ArrayList<>();
    machine.hang(5_000);
    machine.executeDirect(0, 1, List.of(), sentMs, r -> answeredMs.add(w.clock.nowMs()));
    run(20_000);
    assertEquals(List.of(sentMs + 5_000), answeredMs);
  }

  @Test
  void aMachineThatHangsBeyondItsLeaseGoesOnWithoutItsTasks() {
    JobSpec spec = task(60);
    SimWorker machine = machineOf(spec);
    machine.hang(30_000);
    run(15_000);
    assertFalse(w.checker.hostsOf(spec.uid()).contains(machine.host()), "its lease is over");
    run(100_000);
    assertTrue(w.checker.isDone(spec.uid()), "it ran elsewhere");
    assertEquals(List.of(), w.checker.broken());
  }

  @Test
  void aMuteMachineAnswersCommandsAndItsLeaseRunsOut() {
    JobSpec spec = task(60);
    SimWorker machine = machineOf(spec);
    w.network.dropRequestsFrom(machine.host(), true);
    run(8_000);
    assertFalse(w.checker.hostsOf(spec.uid()).contains(machine.host()));
    int[] answers = new int[1];
    machine.executeDirect(0, 1, List.of(), 0, r -> answers[0]++);
    assertEquals(1, answers[0]);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void writesWithoutAnAnswerAreCarriedOutLateOrAtOnce(boolean atOnce) {
    run(20_000);
    JobSpec spec = task(5);
    w.network.setUnansweredWrites(1, atOnce);
    w.submitAndPoll(spec);
    run(500);
    long soon =
        w.state.readChanges("", 0) instanceof StateStore.ChangesResult.Changes c
            ? c.changes().stream().filter(x -> speaksOf(x, spec)).count()
            : -1;
    assertEquals(atOnce ? 1 : 0, soon);
    assertTrue(w.checker.unfinished().isEmpty(), "nobody was told");
    w.network.setUnansweredWrites(0, false);
    // Up to 12 s until it stands; then a repeat, a boot, the run and a question.
    run(60_000);
    assertEquals(List.of(spec.uid()), w.checker.toldDone());
  }

  private static boolean speaksOf(StateStore.ChangedEntry change, JobSpec spec) {
    return change.value().map(v -> v.has(spec.uid())).orElse(false);
  }

  @ParameterizedTest
  @EnumSource(SimulatedCluster.PartitionMode.class)
  void aLeaderCutFromStateAndPeersIsReplacedAndComesBack(SimulatedCluster.PartitionMode mode) {
    run(20_000);
    int before = w.leader();
    w.partitionController(before, mode, 20_000);
    run(15_000);
    assertNotEquals(before, w.leader());
    assertTrue(w.leader() >= 0);
    run(15_000);
    assertTrue(w.isReady(before), "it is of use again");
  }

  @Test
  void heldPacketsArriveInTheirOrderWhenTheCutEnds() {
    List<Integer> arrived = new ArrayList<>();
    w.network.holdPackets("x", "y", true);
    for (int i = 0; i < 5; i++) {
      int n = i;
      w.network.request("x", "y", () -> arrived.add(n), () -> {});
    }
    run(60_000);
    assertEquals(List.of(), arrived);
    w.network.holdPackets("x", "y", false);
    run(10);
    assertEquals(List.of(0, 1, 2, 3, 4), arrived);
  }

  @Test
  void usersCancelManyJobsWithinAFifthOfASecondAndTheirMachinesHang() {
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      jobs.add(task(100));
      w.submitAndPoll(jobs.get(i));
    }
    run(40_000);
    assertEquals(6, w.checker.running().size());
    w.cancelRunning(5, 10_000);
    run(250);
    assertEquals(1, w.checker.running().size());
    assertTrue(w.cloud.workers().stream().anyMatch(x -> !x.isHealthy()));
    run(60_000);
    assertEquals(List.of(), w.checker.broken());
  }

  @Test
  void jobsAreCancelledAtTheEndOfTheirLastTask() {
    w.setCancelAtEndShare(1);
    for (int i = 0; i < 20; i++) {
      JobSpec spec = task(5);
      w.clock.after(5_000 + i * 1_000, () -> w.submitAndPoll(spec));
    }
    run(100_000);
    int done = w.checker.toldDone().size();
    assertTrue(done > 0 && done < 20, done + " done, the others were cancelled first");
    assertEquals(List.of(), w.checker.broken());
  }
}
