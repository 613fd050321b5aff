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
 * Runs jobs with dependencies on a simulated cluster. Guards against jobs that start before their
 * dependencies are done, that start later than necessary, or that outlive a cancelled dependency.
 */
class PipelineTest {
  private static final int CONTROLLERS = 3;
  private static final double HEARTBEAT_INTERVAL_S = 1.5;

  private static JobSpec step(
      SimulatedCluster cluster,
      Priority priority,
      int tasks,
      double cores,
      double expectedS,
      double deadlineS,
      String... dependencies) {
    JobSpec spec =
        JobSpecFixtures.batch(
            cluster.newUid(), "step", "blue", priority, tasks, cores, 0.1, expectedS, deadlineS);
    return JobSpecFixtures.withDependencies(spec, dependencies);
  }

  // ---- random pipelines under random faults

  private static JobSpec randomStep(
      SimulatedCluster cluster, Random random, List<String> dependencies) {
    return RandomPipelineSteps.step(cluster.newUid(), "class-", 6, random, dependencies);
  }

  /**
   * Submits the remaining jobs of a pipeline one by one, each after all earlier ones are accepted.
   * Each job depends on a random part of the earlier ones.
   *
   * @param lastAfterAllEnded the last job is submitted only after all earlier ones are done or
   *     aborted
   */
  private static void submitSteps(
      SimulatedCluster cluster,
      Random random,
      List<String> earlier,
      int remaining,
      boolean lastAfterAllEnded) {
    boolean allAccepted = earlier.stream().allMatch(cluster.checker::isAccepted);
    boolean allEnded =
        earlier.stream().noneMatch(uid -> cluster.checker.finalStatus(uid).isEmpty());
    if (!allAccepted || remaining == 1 && lastAfterAllEnded && !allEnded) {
      cluster.clock.after(
          500, () -> submitSteps(cluster, random, earlier, remaining, lastAfterAllEnded));
      return;
    }
    List<String> dependencies = new ArrayList<>();
    for (String uid : earlier) {
      if (random.nextInt(3) > 0) {
        dependencies.add(uid);
      }
    }
    JobSpec spec =
        randomStep(
            cluster, random, dependencies.isEmpty() && !earlier.isEmpty() ? earlier : dependencies);
    cluster.submitAndPoll(spec);
    if (random.nextInt(12) == 0) {
      cluster.clock.after(500 + random.nextInt(40_000), () -> cluster.cancel(spec.uid(), 0));
    }
    if (remaining > 1) {
      List<String> earlierAndThis = new ArrayList<>(earlier);
      earlierAndThis.add(spec.uid());
      cluster.clock.after(
          200,
          () -> submitSteps(cluster, random, earlierAndThis, remaining - 1, lastAfterAllEnded));
    }
  }

  private static void injectFault(SimulatedCluster cluster) {
    Random random = cluster.random;
    int controller = random.nextInt(CONTROLLERS);
    long durationMs = 1_000 + random.nextInt(20_000);
    switch (random.nextInt(8)) {
      case 0 -> cluster.crash(controller, 100 + random.nextInt(4_000));
      case 1 -> cluster.crash(Math.max(0, cluster.leader()), 100 + random.nextInt(4_000));
      case 2 -> {
        for (int i = 0; i < CONTROLLERS; i++) {
          cluster.crash(i, 100 + random.nextInt(4_000));
        }
      }
      case 3 -> {
        cluster.state.setOutage(true);
        cluster.clock.after(durationMs, () -> cluster.state.setOutage(false));
      }
      case 4 -> {
        cluster.network.partition("n" + controller, SimulatedCluster.STATE, true);
        cluster.clock.after(
            durationMs,
            () -> cluster.network.partition("n" + controller, SimulatedCluster.STATE, false));
      }
      case 5 -> {
        List<SimWorker> workers = cluster.cloud.workers();
        if (!workers.isEmpty()) {
          cluster.cloud.fail(workers.get(random.nextInt(workers.size())).host());
        }
      }
      case 6 -> {
        cluster.network.setDelayedCopyShare(0.05 + random.nextDouble() * 0.3);
        cluster.clock.after(durationMs, () -> cluster.network.setDelayedCopyShare(0));
      }
      default -> {
        cluster.network.setLateRequestShare(0.05 + random.nextDouble() * 0.2);
        cluster.clock.after(durationMs, () -> cluster.network.setLateRequestShare(0));
      }
    }
  }

  private static SimulatedCluster runPipelinesUnderFaults(long seed, int faults) {
    SimulatedCluster cluster = new SimulatedCluster(seed, CONTROLLERS, 14, List.of("a", "b"));
    Random random = new Random(seed * 31 + 7);
    for (int i = 0; i < 14; i++) {
      int steps = 2 + random.nextInt(5);
      boolean lastAfterAllEnded = random.nextInt(3) == 0;
      cluster.clock.after(
          3_000 + random.nextInt(120_000),
          () -> submitSteps(cluster, random, List.of(), steps, lastAfterAllEnded));
    }
    for (int i = 0; i < faults; i++) {
      cluster.clock.after(10_000 + random.nextInt(190_000), () -> injectFault(cluster));
    }
    cluster.clock.after(240_000, cluster::faultsEnded);
    cluster.clock.runUntil(480_000);
    cluster.checker.checkService();
    return cluster;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 291})
  void pipelinesUnderRandomFaultsBreakNoInvariant(long seed) {
    SimulatedCluster cluster = runPipelinesUnderFaults(seed, 12);
    assertEquals(List.of(), cluster.checker.violations(), "seed " + seed);
    assertTrue(
        cluster.checker.starts() > 60,
        "seed " + seed + ": " + cluster.checker.starts() + " starts, expected more than 60");
    assertEquals(
        0, cluster.checker.neverStartedCount(), "seed " + seed + ": ready jobs that never began");
  }

  // ---- a deadline of the last job counts for the jobs that it depends on

  /** A cluster of two machines with jobs of normal priority that occupy them for minutes. */
  private static SimulatedCluster busyCluster() {
    SimulatedCluster cluster = new SimulatedCluster(3, CONTROLLERS, 2, List.of("a"));
    for (int i = 0; i < 60; i++) {
      cluster.clock.after(
          3_000, () -> cluster.submitAndPoll(step(cluster, Priority.NORMAL, 4, 4, 20, 0)));
    }
    return cluster;
  }

  /**
   * A job with a deadline cannot meet it if the best-effort job that it depends on waits behind
   * normal jobs. The dependency is therefore placed as urgently as its dependent requires.
   */
  @Test
  void bestEffortStepRunsBeforeNormalJobsWhenItsDependentHasADeadline() {
    SimulatedCluster clusterWithoutDependent = busyCluster();
    JobSpec step = step(clusterWithoutDependent, Priority.BEST_EFFORT, 4, 4, 10, 0);
    clusterWithoutDependent.clock.after(60_000, () -> clusterWithoutDependent.submitAndPoll(step));
    clusterWithoutDependent.clock.runUntil(140_000);
    assertEquals(
        -1,
        clusterWithoutDependent.checker.firstStartMs(step.uid()),
        "a best-effort step without a dependent started before the normal jobs");

    SimulatedCluster cluster = busyCluster();
    JobSpec first = step(cluster, Priority.BEST_EFFORT, 4, 4, 10, 0);
    JobSpec last = step(cluster, Priority.HIGH, 1, 1, 5, 60, first.uid());
    cluster.clock.after(60_000, () -> cluster.submitAndPoll(first));
    cluster.clock.after(80_000, () -> cluster.submitAndPoll(last));
    cluster.clock.runUntil(79_000);
    assertEquals(-1, cluster.checker.firstStartMs(first.uid()));
    cluster.clock.runUntil(140_000);
    long begunMs = cluster.checker.firstStartMs(first.uid());
    assertTrue(begunMs >= 0 && begunMs < 95_000, "first task began at " + begunMs);
    assertTrue(cluster.checker.isDone(last.uid()));
    assertEquals(List.of(), cluster.checker.violations());
  }

  /** The deadline of a cancelled dependent must no longer put its dependency before other jobs. */
  @Test
  void stepLosesPrecedenceWhenItsDependentWithADeadlineIsCancelled() {
    SimulatedCluster cluster = busyCluster();
    JobSpec first = step(cluster, Priority.BEST_EFFORT, 80, 4, 10, 0);
    JobSpec last = step(cluster, Priority.HIGH, 1, 1, 5, 600, first.uid());
    cluster.clock.after(60_000, () -> cluster.submitAndPoll(first));
    cluster.clock.after(62_000, () -> cluster.submitAndPoll(last));
    cluster.clock.after(95_000, () -> cluster.cancel(last.uid(), 0));
    cluster.clock.runUntil(95_000);
    int doneAtCancellation = cluster.checker.tasksDone(first.uid());
    assertTrue(
        doneAtCancellation >= 3,
        doneAtCancellation + " tasks are done at the cancellation, expected at least 3");
    cluster.clock.runUntil(112_000);
    int doneSoonAfter = cluster.checker.tasksDone(first.uid());
    cluster.clock.runUntil(150_000);
    int doneLater = cluster.checker.tasksDone(first.uid());
    assertTrue(
        doneLater - doneSoonAfter <= 1,
        "tasks done after the cancellation: "
            + (doneLater - doneSoonAfter)
            + ", expected at most 1");
    assertEquals(List.of(), cluster.checker.violations());
  }

  // ---- dependents start without avoidable delay

  /** Guards against time that is lost between the steps of a pipeline of 12 jobs. */
  @Test
  void dependentStartsWithinAHeartbeatIntervalAndAnImagePull() {
    SimulatedCluster cluster = new SimulatedCluster(8, CONTROLLERS, 14, List.of("a"));
    List<JobSpec> steps = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      String[] dependencies = i == 0 ? new String[0] : new String[] {steps.get(i - 1).uid()};
      JobSpec spec =
          step(cluster, i == 11 ? Priority.HIGH : Priority.BEST_EFFORT, 3, 1, 5, 0, dependencies);
      steps.add(spec);
      cluster.clock.after(20_000 + i * 1_000, () -> cluster.submitAndPoll(spec));
    }
    cluster.clock.runUntil(220_000);
    assertEquals(List.of(), cluster.checker.violations());
    for (int i = 1; i < 12; i++) {
      long gapMs =
          cluster.checker.firstStartMs(steps.get(i).uid())
              - cluster.checker.completedMs(steps.get(i - 1).uid());
      // A worker reports the end of a task within 0.5 s, and an image is pulled within 1.7 s.
      assertTrue(
          gapMs > 0 && gapMs < HEARTBEAT_INTERVAL_S * 1_000 + 2_200,
          "step " + i + ": " + gapMs + " ms");
    }
  }

  /**
   * The leader knows from heartbeats that a dependency is done. It must not wait until it reads its
   * own completion record from the state service, which refuses all reads here.
   */
  @Test
  void dependentStartsOnTimeWhenReadsOfTheStateServiceAreRefused() {
    SimulatedCluster cluster = new SimulatedCluster(8, CONTROLLERS, 14, List.of("a"));
    JobSpec first = step(cluster, Priority.NORMAL, 1, 1, 20, 0);
    JobSpec second = step(cluster, Priority.NORMAL, 1, 1, 5, 0, first.uid());
    cluster.clock.after(3_000, () -> cluster.submitAndPoll(first));
    cluster.clock.after(6_000, () -> cluster.submitAndPoll(second));
    cluster.clock.runUntil(10_000);
    while (cluster.checker.firstStartMs(first.uid()) < 0) {
      cluster.clock.runUntil(cluster.clock.nowMs() + 100);
    }
    cluster.clock.runUntil(cluster.checker.firstStartMs(first.uid()) + 19_800);
    cluster.setRefused(cluster.leader(), SimulatedCluster.RequestKind.READS, true);
    cluster.clock.runUntil(cluster.clock.nowMs() + 9_000);
    long gapMs =
        cluster.checker.firstStartMs(second.uid()) - cluster.checker.completedMs(first.uid());
    assertTrue(gapMs > 0 && gapMs < HEARTBEAT_INTERVAL_S * 1_000 + 2_200, gapMs + " ms");
    assertEquals(List.of(), cluster.checker.violations());
  }

  // ---- blocked jobs

  /** Guards against machines and cores that are kept for a job whose dependency still runs. */
  @Test
  void blockedJobNeitherUsesItsTeamsLimitNorCausesProvisioning() {
    SimulatedCluster cluster = new SimulatedCluster(9, CONTROLLERS, 14, List.of("a"));
    cluster.cloud.stopBootFailures();
    JobSpec first = step(cluster, Priority.NORMAL, 1, 1, 120, 0);
    // The limit of team red is 24 cores, and its guarantee is 8 cores.
    JobSpec blocked =
        JobSpecFixtures.withDependencies(
            JobSpecFixtures.batch(
                cluster.newUid(), "large", "red", Priority.HIGH, 60, 4, 0.1, 10, 100),
            first.uid());
    JobSpec other =
        JobSpecFixtures.batch(cluster.newUid(), "o", "red", Priority.BEST_EFFORT, 6, 4, 0.1, 10, 0);
    cluster.clock.after(3_000, () -> cluster.submitAndPoll(first));
    cluster.clock.after(6_000, () -> cluster.submitAndPoll(blocked));
    cluster.clock.after(60_000, () -> cluster.submitAndPoll(other));
    cluster.clock.runUntil(55_000);
    assertTrue(
        cluster.cloud.provisionedCount() <= 2,
        cluster.cloud.provisionedCount() + " machines for one task, expected at most 2");
    cluster.clock.runUntil(100_000);
    assertTrue(cluster.checker.isDone(other.uid()), "a blocked job used up the limit of its team");
    assertEquals(-1, cluster.checker.firstStartMs(blocked.uid()));
    cluster.clock.runUntil(200_000);
    long begunMs = cluster.checker.firstStartMs(blocked.uid());
    assertTrue(
        begunMs >= cluster.checker.completedMs(first.uid()) && begunMs < 160_000,
        "first task began at " + begunMs);
    assertEquals(List.of(), cluster.checker.violations());
  }

  // ---- failover

  /** The leader is killed every 11 s: each new leader derives anew which jobs are ready. */
  @Test
  void pipelineCompletesInOrderAcrossRepeatedFailovers() {
    SimulatedCluster cluster = new SimulatedCluster(10, CONTROLLERS, 14, List.of("a"));
    JobSpec first = step(cluster, Priority.NORMAL, 2, 1, 25, 0);
    JobSpec second = step(cluster, Priority.NORMAL, 2, 1, 25, 0, first.uid());
    JobSpec third = step(cluster, Priority.HIGH, 2, 1, 5, 0, first.uid(), second.uid());
    cluster.clock.after(3_000, () -> cluster.submitAndPoll(first));
    cluster.clock.after(5_000, () -> cluster.submitAndPoll(second));
    cluster.clock.after(7_000, () -> cluster.submitAndPoll(third));
    for (int atS = 12; atS < 100; atS += 11) {
      cluster.clock.after(atS * 1_000, () -> cluster.crash(Math.max(0, cluster.leader()), 2_000));
    }
    cluster.clock.runUntil(200_000);
    assertEquals(List.of(), cluster.checker.violations());
    assertTrue(cluster.checker.isDone(third.uid()));
  }

  /**
   * The snapshot of a job names a running placement although the job's dependency is not done. The
   * next leader counts that placement and starts no further task of the job until the dependency is
   * done.
   */
  @Test
  void blockedJobWithARecordedPlacementStartsNoTaskBeforeItsDependencyIsDone() {
    SimulatedCluster cluster = new SimulatedCluster(11, CONTROLLERS, 14, List.of("a"));
    JobSpec first = step(cluster, Priority.NORMAL, 2, 1, 60, 0);
    JobSpec second = step(cluster, Priority.HIGH, 3, 1, 5, 0, first.uid());
    cluster.clock.after(3_000, () -> cluster.submitAndPoll(first));
    cluster.clock.after(5_000, () -> cluster.submitAndPoll(second));
    cluster.clock.after(
        30_000,
        () -> {
          SimWorker worker = cluster.cloud.workers().get(0);
          SnapshotRecord.MachineInfo host =
              new SnapshotRecord.MachineInfo(
                  worker.host(),
                  worker.place().type(),
                  worker.place().zone(),
                  worker.place().spot());
          SnapshotRecord record =
              new SnapshotRecord(
                  new BitSet(),
                  List.of(new SnapshotRecord.RecordedPlacement(1, 77, host, 1)),
                  1,
                  0);
          Change put = new Change.Put(Keys.snapshot(second.uid(), 0), record.encode(0, 1));
          cluster.state.commit(new Transaction(List.of(), List.of(put)));
          cluster.crash(cluster.leader(), 5_000);
        });
    cluster.clock.runUntil(160_000);
    assertEquals(List.of(), cluster.checker.violations());
    assertTrue(cluster.checker.completedMs(first.uid()) > 40_000);
    assertTrue(cluster.checker.isDone(second.uid()));
  }

  /**
   * The snapshot of a job shows all its tasks as done although the job's dependency is not done.
   * The job must not count as done, because it is aborted if the dependency is cancelled.
   */
  @Test
  void blockedJobRecordedAsCompleteIsAbortedWithItsDependency() {
    SimulatedCluster cluster = new SimulatedCluster(12, CONTROLLERS, 14, List.of("a"));
    JobSpec first = step(cluster, Priority.NORMAL, 2, 1, 90, 0);
    JobSpec second = step(cluster, Priority.HIGH, 3, 1, 5, 0, first.uid());
    cluster.clock.after(3_000, () -> cluster.submitAndPoll(first));
    cluster.clock.after(5_000, () -> cluster.submitAndPoll(second));
    cluster.clock.after(
        30_000,
        () -> {
          BitSet allTasks = new BitSet();
          allTasks.set(0, 3);
          SnapshotRecord record = new SnapshotRecord(allTasks, List.of(), 0, 0);
          Change put = new Change.Put(Keys.snapshot(second.uid(), 0), record.encode(3, 0));
          cluster.state.commit(new Transaction(List.of(), List.of(put)));
          cluster.crash(cluster.leader(), 5_000);
        });
    cluster.clock.after(60_000, () -> cluster.cancel(first.uid(), 0));
    cluster.clock.runUntil(100_000);
    assertEquals(List.of(), cluster.checker.violations());
    assertEquals("aborted", cluster.checker.finalStatus(second.uid()));
  }
}
