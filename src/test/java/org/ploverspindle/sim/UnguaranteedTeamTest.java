package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;

/**
 * A team without a guarantee submits jobs of classes that have not run before, and users poll at a
 * high rate. The jobs of the guaranteed team must complete all the same.
 */
class UnguaranteedTeamTest {
  private static final Settings.StateLimits STATE = new Settings.StateLimits(80, 30, 16, 24);

  private static SimulatedCluster newCluster(long seed) {
    return new SimulatedCluster(
        seed,
        new SimulatedCluster.Deployment(
            3,
            60,
            List.of("a"),
            new Settings.WorkerLimits(1.5, 10, 40),
            STATE,
            new Settings.CloudLimits(5, 3),
            List.of(
                new Settings.Team("blue", 100, 0, 0, 0), new Settings.Team("guest", 0, 0, 0, 0)),
            new Policy(3, 30, 60, 0, Policy.UNBOUNDED, 30, Map.of())));
  }

  private static JobSpec guestJob(
      SimulatedCluster cluster, String jobClass, int tasks, double cores, double runS) {
    return JobSpecFixtures.batch(
        cluster.newUid(), jobClass, "guest", Priority.BEST_EFFORT, tasks, cores, 0.1, runS, 0);
  }

  private static List<JobSpec> submitGuaranteedJobs(SimulatedCluster cluster) {
    List<JobSpec> guaranteed = new ArrayList<>();
    for (int i = 0; i < 80; i++) {
      cluster.clock.after(
          3_000 + i * 3_000,
          () -> {
            JobSpec spec = DayEndCriteriaTest.job(cluster, "a", Priority.HIGH, 12, 2, 10, 60);
            guaranteed.add(spec);
            cluster.submitAndPoll(spec);
          });
    }
    return guaranteed;
  }

  private static void assertServed(SimulatedCluster cluster, List<JobSpec> guaranteed) {
    cluster.checker.checkService();
    assertEquals(List.of(), cluster.checker.violations());
    assertEquals(0, cluster.checker.neverStartedCount());
    guaranteed.forEach(
        job ->
            assertTrue(
                cluster.checker.isDone(job.uid()), job.uid() + " of the guaranteed team is done"));
    assertEquals(0, cluster.state.changeLimiter.refusedCount(), "changes refused above the rate");
    assertEquals(0, cluster.state.requestLimiter.refusedCount(), "requests refused above the rate");
  }

  @Test
  void jobOfManyShortTasksCompletesWithFewChanges() {
    SimulatedCluster cluster = newCluster(1);
    List<JobSpec> guaranteed = submitGuaranteedJobs(cluster);
    JobSpec[] large = new JobSpec[1];
    long[] changesBefore = new long[1];
    cluster.clock.after(
        60_000,
        () -> {
          changesBefore[0] = cluster.state.changeLimiter.requestCount();
          large[0] = guestJob(cluster, "rebuild", 25_000, 0.25, 4);
          cluster.submitAndPoll(large[0]);
        });
    cluster.clock.after(65_000, () -> cluster.crash(Math.max(0, cluster.leader()), 2_000));
    cluster.clock.runUntil(500_000);
    assertServed(cluster, guaranteed);
    assertTrue(cluster.checker.isDone(large[0].uid()));
    long writes = cluster.state.changeLimiter.requestCount() - changesBefore[0];
    assertTrue(
        writes <= 25_000 / 5, writes + " writes for 25,000 tasks and 60 jobs, 5,000 allowed");
  }

  @Test
  void hundredsOfOneTaskJobsCompleteBesideTheGuaranteedTeam() {
    SimulatedCluster cluster = newCluster(2);
    List<JobSpec> guaranteed = submitGuaranteedJobs(cluster);
    List<JobSpec> small = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      cluster.clock.after(
          60_000 + i * 120,
          () -> {
            JobSpec spec = guestJob(cluster, "check", 1, 0.25, 60);
            small.add(spec);
            cluster.submitAndPoll(spec);
          });
    }
    cluster.clock.after(90_000, () -> cluster.crash(Math.max(0, cluster.leader()), 2_000));
    cluster.clock.runUntil(500_000);
    assertServed(cluster, guaranteed);
    assertTrue(small.stream().allMatch(job -> cluster.checker.isDone(job.uid())));
  }

  /**
   * Guards against a read of the state service for each poll. The second run adds 8,000 polls
   * within 56 s, about ten times as many as without them. All are answered by shared reads, which
   * take at most 60 % of the request rate beyond the first run's requests.
   */
  @Test
  void manyPollsShareReadsOfTheStateService() {
    long[] requests = new long[2];
    for (int run = 0; run < 2; run++) {
      SimulatedCluster cluster = newCluster(3);
      List<JobSpec> guaranteed = submitGuaranteedJobs(cluster);
      Random random = new Random(3);
      int[] answers = new int[2];
      for (int i = 0; run == 1 && i < 8_000; i++) {
        cluster.clock.after(
            100_000 + i * 7,
            () -> {
              int node = random.nextInt(3);
              cluster.query(
                  node,
                  guaranteed.get(random.nextInt(guaranteed.size() - 1)).uid(),
                  response -> answers[response.status() == 200 ? 0 : 1]++);
            });
      }
      cluster.clock.runUntil(100_000);
      long before = cluster.state.requestLimiter.requestCount();
      cluster.clock.runUntil(161_000);
      requests[run] = cluster.state.requestLimiter.requestCount() - before;
      cluster.clock.runUntil(400_000);
      assertServed(cluster, guaranteed);
      if (run == 1) {
        assertEquals(8_000, answers[0], "polls answered 200");
      }
    }
    assertTrue(
        requests[1] <= requests[0] + 61 * STATE.requestsPerS() * 0.6,
        requests[0] + " requests without the additional polls, with them " + requests[1]);
  }
}
