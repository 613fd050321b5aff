package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.SnapshotRecord;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Transaction;

/**
 * Jobs that await others, among stand-ins: what starts when, and what a cancellation takes along.
 */
class PipelineTest {
  private static final int NODES = 3;
  private static final double REPORT_S = 1.5;

  private static JobSpec step(
      SimulatedCluster w,
      Priority urgency,
      int tasks,
      double cores,
      double runS,
      double dueS,
      String... awaits) {
    JobSpec spec =
        JobSpecFixtures.batch(w.newUid(), "step", "blue", urgency, tasks, cores, 0.1, runS, dueS);
    return JobSpecFixtures.withDependencies(spec, awaits);
  }

  // ---- random pipelines under random troubles

  private static JobSpec random(SimulatedCluster w, Random r, List<String> awaits) {
    return RandomPipelineSteps.step(w.newUid(), "class-", 6, r, awaits);
  }

  /** One after another, each as soon as all before are accepted, or the last once they are over. */
  private static void submit(
      SimulatedCluster w, Random r, List<String> before, int left, boolean lastLate) {
    boolean accepted = before.stream().allMatch(w.checker::isAccepted);
    boolean over = before.stream().noneMatch(u -> w.checker.finalWord(u).isEmpty());
    if (!accepted || left == 1 && lastLate && !over) {
      w.clock.after(500, () -> submit(w, r, before, left, lastLate));
      return;
    }
    List<String> awaits = new ArrayList<>();
    for (String uid : before) {
      if (r.nextInt(3) > 0) {
        awaits.add(uid);
      }
    }
    JobSpec spec = random(w, r, awaits.isEmpty() && !before.isEmpty() ? before : awaits);
    w.submitAndPoll(spec);
    if (r.nextInt(12) == 0) {
      w.clock.after(500 + r.nextInt(40_000), () -> w.cancel(spec.uid(), 0));
    }
    if (left > 1) {
      List<String> then = new ArrayList<>(before);
      then.add(spec.uid());
      w.clock.after(200, () -> submit(w, r, then, left - 1, lastLate));
    }
  }

  private static void trouble(SimulatedCluster w) {
    Random r = w.random;
    int node = r.nextInt(NODES);
    long forMs = 1_000 + r.nextInt(20_000);
    switch (r.nextInt(8)) {
      case 0 -> w.crash(node, 100 + r.nextInt(4_000));
      case 1 -> w.crash(Math.max(0, w.leader()), 100 + r.nextInt(4_000));
      case 2 -> {
        for (int i = 0; i < NODES; i++) {
          w.crash(i, 100 + r.nextInt(4_000));
        }
      }
      case 3 -> {
        w.state.setOutage(true);
        w.clock.after(forMs, () -> w.state.setOutage(false));
      }
      case 4 -> {
        w.network.partition("n" + node, SimulatedCluster.STATE, true);
        w.clock.after(forMs, () -> w.network.partition("n" + node, SimulatedCluster.STATE, false));
      }
      case 5 -> {
        List<SimWorker> all = w.cloud.workers();
        if (!all.isEmpty()) {
          w.cloud.fail(all.get(r.nextInt(all.size())).host());
        }
      }
      case 6 -> {
        w.network.setDelayedCopyShare(0.05 + r.nextDouble() * 0.3);
        w.clock.after(forMs, () -> w.network.setDelayedCopyShare(0));
      }
      default -> {
        w.network.setLateRequestShare(0.05 + r.nextDouble() * 0.2);
        w.clock.after(forMs, () -> w.network.setLateRequestShare(0));
      }
    }
  }

  private static SimulatedCluster play(long seed, int troubles) {
    SimulatedCluster w = new SimulatedCluster(seed, NODES, 14, List.of("a", "b"));
    Random r = new Random(seed * 31 + 7);
    for (int i = 0; i < 14; i++) {
      int steps = 2 + r.nextInt(5);
      boolean lastLate = r.nextInt(3) == 0;
      w.clock.after(3_000 + r.nextInt(120_000), () -> submit(w, r, List.of(), steps, lastLate));
    }
    for (int i = 0; i < troubles; i++) {
      w.clock.after(10_000 + r.nextInt(190_000), () -> trouble(w));
    }
    w.clock.after(240_000, w::faultsEnded);
    w.clock.runUntil(480_000);
    w.checker.endOfDay();
    return w;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 291})
  void rulesHoldForPipelinesUnderRandomTroubles(long seed) {
    SimulatedCluster w = play(seed, 12);
    assertEquals(List.of(), w.checker.broken(), "seed " + seed);
    assertTrue(w.checker.starts() > 60, "seed " + seed + ": " + w.checker.starts() + " starts");
    assertEquals(0, w.checker.neverBegun(), "seed " + seed + ": jobs that were ready never began");
  }

  // ---- one deadline

  /** Two machines, and normal work that keeps them busy for minutes. */
  private static SimulatedCluster busy() {
    SimulatedCluster w = new SimulatedCluster(3, NODES, 2, List.of("a"));
    for (int i = 0; i < 60; i++) {
      w.clock.after(3_000, () -> w.submitAndPoll(step(w, Priority.NORMAL, 4, 4, 20, 0)));
    }
    return w;
  }

  @Test
  void aFirstStepRunsBeforeOtherWorkForTheSakeOfTheLast() {
    SimulatedCluster alone = busy();
    JobSpec index = step(alone, Priority.BEST_EFFORT, 4, 4, 10, 0);
    alone.clock.after(60_000, () -> alone.submitAndPoll(index));
    alone.clock.runUntil(140_000);
    assertEquals(-1, alone.checker.begunMs(index.uid()), "without a last job it waits");

    SimulatedCluster w = busy();
    JobSpec first = step(w, Priority.BEST_EFFORT, 4, 4, 10, 0);
    JobSpec last = step(w, Priority.HIGH, 1, 1, 5, 60, first.uid());
    w.clock.after(60_000, () -> w.submitAndPoll(first));
    w.clock.after(80_000, () -> w.submitAndPoll(last));
    w.clock.runUntil(79_000);
    assertEquals(-1, w.checker.begunMs(first.uid()));
    w.clock.runUntil(140_000);
    long begun = w.checker.begunMs(first.uid());
    assertTrue(begun >= 0 && begun < 95_000, "it began at " + begun);
    assertTrue(w.checker.isDone(last.uid()));
    assertEquals(List.of(), w.checker.broken());
  }

  @Test
  void itNoLongerDoesOnceTheLastIsCancelled() {
    SimulatedCluster w = busy();
    JobSpec first = step(w, Priority.BEST_EFFORT, 80, 4, 10, 0);
    JobSpec last = step(w, Priority.HIGH, 1, 1, 5, 600, first.uid());
    w.clock.after(60_000, () -> w.submitAndPoll(first));
    w.clock.after(62_000, () -> w.submitAndPoll(last));
    w.clock.after(95_000, () -> w.cancel(last.uid(), 0));
    w.clock.runUntil(95_000);
    int before = w.checker.tasksDone(first.uid());
    assertTrue(before >= 3, before + " tasks are done");
    w.clock.runUntil(112_000);
    int after = w.checker.tasksDone(first.uid());
    w.clock.runUntil(150_000);
    int later = w.checker.tasksDone(first.uid());
    assertTrue(later - after <= 1, "after the cancellation " + (later - after) + " more are done");
    assertEquals(List.of(), w.checker.broken());
  }

  // ---- no later than need be

  @Test
  void theNextStepStartsWithinAReportsTime() {
    SimulatedCluster w = new SimulatedCluster(8, NODES, 14, List.of("a"));
    List<JobSpec> steps = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      String[] before = i == 0 ? new String[0] : new String[] {steps.get(i - 1).uid()};
      JobSpec s = step(w, i == 11 ? Priority.HIGH : Priority.BEST_EFFORT, 3, 1, 5, 0, before);
      steps.add(s);
      w.clock.after(20_000 + i * 1_000, () -> w.submitAndPoll(s));
    }
    w.clock.runUntil(220_000);
    assertEquals(List.of(), w.checker.broken());
    for (int i = 1; i < 12; i++) {
      long gapMs = w.checker.begunMs(steps.get(i).uid()) - w.checker.doneMs(steps.get(i - 1).uid());
      // An end is reported within half a second, and an image is there within 1.7 s.
      assertTrue(gapMs > 0 && gapMs < REPORT_S * 1_000 + 2_200, "step " + i + ": " + gapMs + " ms");
    }
  }

  @Test
  void theNextStepWaitsForNoReadOfTheState() {
    SimulatedCluster w = new SimulatedCluster(8, NODES, 14, List.of("a"));
    JobSpec first = step(w, Priority.NORMAL, 1, 1, 20, 0);
    JobSpec second = step(w, Priority.NORMAL, 1, 1, 5, 0, first.uid());
    w.clock.after(3_000, () -> w.submitAndPoll(first));
    w.clock.after(6_000, () -> w.submitAndPoll(second));
    w.clock.runUntil(10_000);
    while (w.checker.begunMs(first.uid()) < 0) {
      w.clock.runUntil(w.clock.nowMs() + 100);
    }
    w.clock.runUntil(w.checker.begunMs(first.uid()) + 19_800);
    w.setRefused(w.leader(), SimulatedCluster.RequestKind.READS, true);
    w.clock.runUntil(w.clock.nowMs() + 9_000);
    long gapMs = w.checker.begunMs(second.uid()) - w.checker.doneMs(first.uid());
    assertTrue(gapMs > 0 && gapMs < REPORT_S * 1_000 + 2_200, gapMs + " ms");
    assertEquals(List.of(), w.checker.broken());
  }

  // ---- waiting

  @Test
  void whatWaitsForOthersHoldsNothingAndIsNoDemand() {
    SimulatedCluster w = new SimulatedCluster(9, NODES, 14, List.of("a"));
    JobSpec first = step(w, Priority.NORMAL, 1, 1, 120, 0);
    // Team red may use 24 cores, and 8 are guaranteed.
    JobSpec waits =
        JobSpecFixtures.withDependencies(
            JobSpecFixtures.batch(w.newUid(), "large", "red", Priority.HIGH, 60, 4, 0.1, 10, 100),
            first.uid());
    JobSpec other =
        JobSpecFixtures.batch(w.newUid(), "o", "red", Priority.BEST_EFFORT, 6, 4, 0.1, 10, 0);
    w.clock.after(3_000, () -> w.submitAndPoll(first));
    w.clock.after(6_000, () -> w.submitAndPoll(waits));
    w.clock.after(60_000, () -> w.submitAndPoll(other));
    w.clock.runUntil(55_000);
    assertTrue(
        w.cloud.provisionedCount() <= 2, w.cloud.provisionedCount() + " machines for one task");
    w.clock.runUntil(100_000);
    assertTrue(w.checker.isDone(other.uid()), "all that its team may use was free for it");
    assertEquals(-1, w.checker.begunMs(waits.uid()));
    w.clock.runUntil(200_000);
    long begun = w.checker.begunMs(waits.uid());
    assertTrue(begun >= w.checker.doneMs(first.uid()) && begun < 160_000, "it began at " + begun);
    assertEquals(List.of(), w.checker.broken());
  }

  // ---- new leaders

  @Test
  void readinessIsWorkedOutAgainByEachNewLeader() {
    SimulatedCluster w = new SimulatedCluster(10, NODES, 14, List.of("a"));
    JobSpec first = step(w, Priority.NORMAL, 2, 1, 25, 0);
    JobSpec second = step(w, Priority.NORMAL, 2, 1, 25, 0, first.uid());
    JobSpec third = step(w, Priority.HIGH, 2, 1, 5, 0, first.uid(), second.uid());
    w.clock.after(3_000, () -> w.submitAndPoll(first));
    w.clock.after(5_000, () -> w.submitAndPoll(second));
    w.clock.after(7_000, () -> w.submitAndPoll(third));
    for (int at = 12; at < 100; at += 11) {
      w.clock.after(at * 1_000, () -> w.crash(Math.max(0, w.leader()), 2_000));
    }
    w.clock.runUntil(200_000);
    assertEquals(List.of(), w.checker.broken());
    assertTrue(w.checker.isDone(third.uid()));
  }

  /** Records say that a task is out whose job awaits others: it counts, and none is started. */
  @Test
  void afterRecordsThatCannotBeNothingNewOfTheJobStarts() {
    SimulatedCluster w = new SimulatedCluster(11, NODES, 14, List.of("a"));
    JobSpec first = step(w, Priority.NORMAL, 2, 1, 60, 0);
    JobSpec second = step(w, Priority.HIGH, 3, 1, 5, 0, first.uid());
    w.clock.after(3_000, () -> w.submitAndPoll(first));
    w.clock.after(5_000, () -> w.submitAndPoll(second));
    w.clock.after(
        30_000,
        () -> {
          SimWorker m = w.cloud.workers().get(0);
          SnapshotRecord.MachineInfo host =
              new SnapshotRecord.MachineInfo(
                  m.host(), m.place().type(), m.place().zone(), m.place().spot());
          SnapshotRecord record =
              new SnapshotRecord(
                  new BitSet(),
                  List.of(new SnapshotRecord.RecordedPlacement(1, 77, host, 1)),
                  1,
                  0);
          Change put = new Change.Put(Keys.snapshot(second.uid(), 0), record.encode(0, 1));
          w.state.commit(new Transaction(List.of(), List.of(put)));
          w.crash(w.leader(), 5_000);
        });
    w.clock.runUntil(160_000);
    assertEquals(List.of(), w.checker.broken());
    assertTrue(w.checker.doneMs(first.uid()) > 40_000);
    assertTrue(w.checker.isDone(second.uid()));
  }

  /** Were it done by such records, it would still be aborted with what it awaits. */
  @Test
  void whatAwaitsOthersIsNotDoneBeforeThem() {
    SimulatedCluster w = new SimulatedCluster(12, NODES, 14, List.of("a"));
    JobSpec first = step(w, Priority.NORMAL, 2, 1, 90, 0);
    JobSpec second = step(w, Priority.HIGH, 3, 1, 5, 0, first.uid());
    w.clock.after(3_000, () -> w.submitAndPoll(first));
    w.clock.after(5_000, () -> w.submitAndPoll(second));
    w.clock.after(
        30_000,
        () -> {
          BitSet all = new BitSet();
          all.set(0, 3);
          SnapshotRecord record = new SnapshotRecord(all, List.of(), 0, 0);
          Change put = new Change.Put(Keys.snapshot(second.uid(), 0), record.encode(3, 0));
          w.state.commit(new Transaction(List.of(), List.of(put)));
          w.crash(w.leader(), 5_000);
        });
    w.clock.after(60_000, () -> w.cancel(first.uid(), 0));
    w.clock.runUntil(100_000);
    assertEquals(List.of(), w.checker.broken());
    assertEquals("aborted", w.checker.finalWord(second.uid()));
  }
}
