package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;

/**
 * Base class of tests with faults during users' polls, submissions and cancellations. The seed
 * selects the heartbeat interval, worker lease and cancellation time of one deployment.
 */
abstract class UserFaultsDay {
  static final int CONTROLLERS = 3;
  static final int FIRST_JOB_MS = 12_000;

  /**
   * Longest time after a confirmed cancellation at which the leader may still send a start command.
   * The leader learns of a cancellation that another controller is about to confirm by a
   * notification or by its next read. Starts sent before that must be stopped in time.
   */
  static final long MAX_START_AFTER_CANCELLATION_MS = 50;

  static final List<Settings.WorkerLimits> TIMINGS =
      List.of(
          new Settings.WorkerLimits(3, 14, 39),
          new Settings.WorkerLimits(1.5, 10, 40),
          new Settings.WorkerLimits(5, 26.5, 51.5),
          new Settings.WorkerLimits(5, 26.5, 56.5));

  final Random random = new Random(11);
  final List<String> submitted = new ArrayList<>();
  SimulatedCluster cluster;

  void startCluster(long seed, int capacity) {
    startCluster(seed, capacity, 0);
  }

  void startCluster(long seed, int capacity, double redMaxCores) {
    cluster =
        new SimulatedCluster(
            seed,
            new SimulatedCluster.Deployment(
                CONTROLLERS,
                capacity,
                List.of("a"),
                timing(seed),
                new Settings.StateLimits(120, 35, 8, 12),
                new Settings.CloudLimits(20, 3),
                List.of(
                    new Settings.Team("red", 8, redMaxCores, 0, 0),
                    new Settings.Team("blue", 8, 0, 0, 0)),
                new Policy(3, 8, 15, 0, 100, 20, Map.of())));
  }

  static Settings.WorkerLimits timing(long seed) {
    return TIMINGS.get((int) (seed % TIMINGS.size()));
  }

  String submit(String team, Priority priority, int tasks, double cores, double runS) {
    JobSpec spec =
        JobSpecFixtures.batch(
            cluster.newUid(), "c-" + priority, team, priority, tasks, cores, 0.1, runS, 0);
    submitted.add(spec.uid());
    cluster.submitAndPoll(spec);
    return spec.uid();
  }

  /** Submits {@code count} equal jobs of team blue, one every {@code everyMs}. */
  void submitJobs(int fromMs, int count, int everyMs, Priority priority, int tasks, double runS) {
    for (int i = 0; i < count; i++) {
      cluster.clock.after(fromMs + i * everyMs, () -> submit("blue", priority, tasks, 1, runS));
    }
  }

  /** Cancels up to {@code count} randomly chosen running jobs, one every {@code everyMs}. */
  void scheduleCancellations(int fromMs, int count, int everyMs) {
    for (int i = 0; i < count; i++) {
      cluster.clock.after(
          fromMs + i * everyMs,
          () -> {
            List<String> running = cluster.checker.running();
            if (!running.isEmpty()) {
              cluster.cancel(running.get(random.nextInt(running.size())), 0);
            }
          });
    }
  }

  void runAndCheckRules(int faultsEndMs, int recoveryMs) {
    cluster.clock.after(faultsEndMs, cluster::faultsEnded);
    cluster.clock.runUntil(faultsEndMs + recoveryMs);
    assertEquals(List.of(), cluster.checker.violations());
    long maxCommandSentAfterMs =
        cluster.checker.lateStarts().stream()
            .mapToLong(InvariantChecker.LateStart::commandSentAfterMs)
            .max()
            .orElse(0);
    assertTrue(
        maxCommandSentAfterMs <= MAX_START_AFTER_CANCELLATION_MS,
        "a start was sent " + maxCommandSentAfterMs + " ms after a confirmed cancellation");
    assertEquals(0, cluster.checker.neverStartedCount(), "accepted jobs that never started");
  }

  static void assertAtLeast(String quantity, long minimum, long actual) {
    assertTrue(actual >= minimum, quantity + ": " + actual + ", at least " + minimum + " expected");
  }
}
