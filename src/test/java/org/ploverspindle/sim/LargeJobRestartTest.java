package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;

/**
 * Guards against controllers that don't serve after a restart, since they read the records of a job
 * of 100,000 tasks that ended them before.
 */
class LargeJobRestartTest {
  private static final int CONTROLLERS = 3;
  private static final int TASKS = 100_000;
  private static final int TASKS_BEFORE_CRASH = 60_000;
  private static final long RESTART_MS = 3_000;
  private static final long STEP_MS = 100;

  /** Within this time a question about each accepted job must be answered. */
  private static final long ANSWER_LIMIT_MS = 75_000;

  private static final long END_LIMIT_MS = 240_000;

  private final SimulatedCluster cluster =
      new SimulatedCluster(
          7,
          new SimulatedCluster.Deployment(
              CONTROLLERS,
              300,
              List.of("a"),
              new Settings.WorkerLimits(3, 14, 39),
              new Settings.StateLimits(60, 20, 8, 12),
              new Settings.CloudLimits(6, 8),
              List.of(new Settings.Team("red", 100, 0, 0, 0)),
              new Policy(3, 30, 60, 0, Policy.UNBOUNDED, 30, Map.of())));

  @Test
  void restartedControllersAnswerForEveryJobAndFinishTheLargeOne() {
    List<String> uids = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      JobSpec job =
          JobSpecFixtures.batch(cluster.newUid(), "small", "red", Priority.HIGH, 10, 1, 0.1, 4, 0);
      uids.add(job.uid());
      cluster.submitAndPoll(job);
    }
    JobSpec large =
        JobSpecFixtures.batch(
            cluster.newUid(), "large", "red", Priority.NORMAL, TASKS, 0.25, 0.1, 4, 0);
    uids.add(large.uid());
    cluster.submitAndPoll(large);
    while (cluster.checker.tasksDone(large.uid()) < TASKS_BEFORE_CRASH) {
      runFor(STEP_MS);
      assertTrue(cluster.clock.nowMs() < END_LIMIT_MS, "too few tasks done");
    }
    for (int i = 0; i < CONTROLLERS; i++) {
      cluster.crash(i, RESTART_MS);
    }
    runFor(RESTART_MS + STEP_MS);
    for (int i = 0; i < CONTROLLERS; i++) {
      awaitAnswers(i, uids);
    }
    while (!cluster.checker.isDone(large.uid())) {
      runFor(STEP_MS);
      assertTrue(cluster.clock.nowMs() < END_LIMIT_MS, "the large job is not done");
    }
    runFor(ANSWER_LIMIT_MS);
    cluster.checker.checkService();
    assertEquals(List.of(), cluster.checker.violations());
  }

  private void awaitAnswers(int controller, List<String> uids) {
    Set<String> unanswered = new HashSet<>(uids);
    long startMs = cluster.clock.nowMs();
    while (!unanswered.isEmpty()) {
      for (String uid : List.copyOf(unanswered)) {
        cluster.query(
            controller,
            uid,
            response -> {
              if (response.status() == 200) {
                unanswered.remove(uid);
              }
            });
      }
      runFor(STEP_MS);
      assertTrue(
          cluster.clock.nowMs() - startMs < ANSWER_LIMIT_MS,
          "controller " + controller + " does not answer for " + unanswered);
    }
  }

  private void runFor(long durationMs) {
    cluster.clock.runUntil(cluster.clock.nowMs() + durationMs);
  }
}
