package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.model.Priority;

/**
 * Guards against completed tasks that run again, and against cancellations that are lost, when
 * cancellations and completions race with each other or with a change of the leader.
 */
class CancellationRaceTest extends UserFaultsDay {
  /**
   * Shorter than the time for which a leader with failing writes keeps the leadership, and about a
   * heartbeat interval.
   */
  private static final int WRITES_REFUSED_MS = 4_500;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void completedTasksOfPartlyDoneJobsAreNotRepeatedAfterLeaderCrashes(long seed) {
    startCluster(seed, 3);
    for (int i = 0; i < 10; i++) {
      int tasks = 2 + i % 2;
      // A machine has room for one task only, so that the tasks of a job run one after another.
      cluster.clock.after(
          4_000 + i * 1_500, () -> submit("blue", Priority.NORMAL, tasks, 12, 9 + seed % 3));
    }
    Set<String> partlyDoneAtCrash = new HashSet<>();
    for (int at = 30_000; at <= 78_000; at += 12_000) {
      cluster.clock.after(
          at,
          () -> {
            submitted.stream()
                .filter(uid -> cluster.checker.tasksDone(uid) > 0 && !cluster.checker.isDone(uid))
                .forEach(partlyDoneAtCrash::add);
            cluster.crash(Math.max(0, cluster.leader()), 400);
          });
    }
    runAndCheckRules(100_000, 200_000);
    assertAtLeast(
        "jobs that were partly done when the leader crashed", 2, partlyDoneAtCrash.size());
    assertAtLeast("terms", 4, cluster.termCount());
    assertEquals(10, cluster.checker.jobsDone());
    assertEquals(
        25, cluster.checker.starts(), "starts of tasks, without repetition of completed ones");
  }

  /**
   * The leader receives heartbeats with completed tasks while its writes are refused, and crashes
   * before it has recorded them. Until they are recorded only the worker knows of the completions,
   * and the leader must not command it to forget them.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void completionsUnrecordedAtLeaderCrashAreNotRepeated(long seed) {
    startCluster(seed, 14);
    submitJobs(4_000, 100, 700, Priority.NORMAL, 2, 9);
    int[] unrecorded = {0};
    for (int at = 30_000; at <= 72_000; at += 14_000) {
      cluster.clock.after(at, () -> crashWithUnrecordedCompletions(unrecorded));
    }
    runAndCheckRules(80_000, 120_000);
    assertAtLeast("tasks completed while writes were refused", 5, unrecorded[0]);
    assertAtLeast("terms", 4, cluster.termCount());
    assertEquals(100, cluster.checker.jobsDone());
    assertEquals(
        200, cluster.checker.starts(), "starts of tasks, without repetition of completed ones");
  }

  private void crashWithUnrecordedCompletions(int[] unrecorded) {
    int leader = Math.max(0, cluster.leader());
    int before = tasksDone();
    cluster.setRefused(leader, SimulatedCluster.RequestKind.WRITES, true);
    cluster.clock.after(
        WRITES_REFUSED_MS,
        () -> {
          unrecorded[0] += tasksDone() - before;
          cluster.crash(leader, 400);
          cluster.setRefused(leader, SimulatedCluster.RequestKind.WRITES, false);
        });
  }

  private int tasksDone() {
    return submitted.stream().mapToInt(cluster.checker::tasksDone).sum();
  }

  /**
   * Messages to and from the state service take up to 300 ms, which leaves time for the completion
   * to be recorded before the cancellation.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void cancellationAtLastCompletionHoldsInvariantsWhileStateServiceIsSlow(long seed) {
    startCluster(seed, 14);
    cluster.setCancelAtCompletionShare(0.6);
    cluster.clock.after(
        FIRST_JOB_MS, () -> cluster.network.setMaxDelay(SimulatedCluster.STATE, 300));
    cluster.clock.after(80_000, () -> cluster.network.setMaxDelay(SimulatedCluster.STATE, 0));
    runJobsThatAreCancelledAtCompletion();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void cancellationAtLastCompletionHoldsInvariants(long seed) {
    startCluster(seed, 14);
    cluster.setCancelAtCompletionShare(0.6);
    cluster.setRequestBursts(true);
    runJobsThatAreCancelledAtCompletion();
  }

  private void runJobsThatAreCancelledAtCompletion() {
    submitJobs(FIRST_JOB_MS, 80, 600, Priority.NORMAL, 2, 5);
    runAndCheckRules(80_000, 60_000);
    long ended = submitted.stream().filter(uid -> cluster.checker.isDone(uid)).count();
    assertAtLeast("jobs done", 20, cluster.checker.jobsDone());
    assertAtLeast(
        "jobs cancelled although all their tasks had ended", 5, ended - cluster.checker.jobsDone());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void cancellationsDuringLeaderChangesHoldInvariants(long seed) {
    startCluster(seed, 14);
    submitJobs(4_000, 40, 700, Priority.NORMAL, 2, 250);
    for (int round = 0; round < 2; round++) {
      int at = 36_000 + round * 30_000;
      scheduleCancellations(at - 1_500, 12, 500);
      boolean isPartitioned = (round + seed) % 2 == 0;
      cluster.clock.after(
          at,
          () -> {
            int leader = Math.max(0, cluster.leader());
            if (isPartitioned) {
              cluster.partitionController(
                  leader, SimulatedCluster.PartitionMode.REFUSE_REQUESTS, 20_000);
            } else {
              cluster.crash(leader, 300);
            }
          });
    }
    long cancelMs = (long) (timing(seed).cancelS() * 1_000);
    runAndCheckRules(90_000, (int) cancelMs + 20_000);
    assertAtLeast("terms", 3, cluster.termCount());
    assertAtLeast(
        "cancellations of jobs with tasks on machines",
        12,
        cluster.checker.cancelledWithRunningTasks());
  }
}
