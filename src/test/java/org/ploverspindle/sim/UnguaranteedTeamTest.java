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

/** A team without a guarantee comes with classes that nobody has seen, and users who ask a lot. */
class UnguaranteedTeamTest {
  private static final Settings.StateLimits STATE = new Settings.StateLimits(80, 30, 16, 24);

  private static SimulatedCluster world(long seed) {
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

  private static JobSpec guest(
      SimulatedCluster w, String jobClass, int tasks, double cores, double runS) {
    return JobSpecFixtures.batch(
        w.newUid(), jobClass, "guest", Priority.BEST_EFFORT, tasks, cores, 0.1, runS, 0);
  }

  private static List<JobSpec> homeTeam(SimulatedCluster w) {
    List<JobSpec> own = new ArrayList<>();
    for (int i = 0; i < 80; i++) {
      w.clock.after(
          3_000 + i * 3_000,
          () -> {
            JobSpec spec = DayEndCriteriaTest.job(w, "a", Priority.HIGH, 12, 2, 10, 60);
            own.add(spec);
            w.submitAndPoll(spec);
          });
    }
    return own;
  }

  private static void assertServed(SimulatedCluster w, List<JobSpec> own) {
    w.checker.endOfDay();
    assertEquals(List.of(), w.checker.broken());
    assertEquals(0, w.checker.neverBegun());
    own.forEach(s -> assertTrue(w.checker.isDone(s.uid()), s.uid() + " of the home team is done"));
    assertEquals(0, w.state.changeLimiter.refusedCount(), "changes stay below the rate");
    assertEquals(0, w.state.requestLimiter.refusedCount(), "requests stay below the rate");
  }

  @Test
  void anArrayOfManyShortTasksIsServedWithFewChanges() {
    SimulatedCluster w = world(1);
    List<JobSpec> own = homeTeam(w);
    JobSpec[] huge = new JobSpec[1];
    long[] changes = new long[1];
    w.clock.after(
        60_000,
        () -> {
          changes[0] = w.state.changeLimiter.requestCount();
          huge[0] = guest(w, "rebuild", 25_000, 0.25, 4);
          w.submitAndPoll(huge[0]);
        });
    w.clock.after(65_000, () -> w.crash(Math.max(0, w.leader()), 2_000));
    w.clock.runUntil(500_000);
    assertServed(w, own);
    assertTrue(w.checker.isDone(huge[0].uid()));
    long writes = w.state.changeLimiter.requestCount() - changes[0];
    assertTrue(writes <= 25_000 / 5, writes + " writes for 25,000 tasks and 60 jobs");
  }

  @Test
  void hundredsOfJobsOfOneTaskInAMinuteAreAcceptedAndRunBesideTheOthers() {
    SimulatedCluster w = world(2);
    List<JobSpec> own = homeTeam(w);
    List<JobSpec> small = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      w.clock.after(
          60_000 + i * 120,
          () -> {
            JobSpec spec = guest(w, "check", 1, 0.25, 60);
            small.add(spec);
            w.submitAndPoll(spec);
          });
    }
    w.clock.after(90_000, () -> w.crash(Math.max(0, w.leader()), 2_000));
    w.clock.runUntil(500_000);
    assertServed(w, own);
    assertTrue(small.stream().allMatch(s -> w.checker.isDone(s.uid())));
  }

  /** Ten times as many questions cost the state service next to nothing more: reads are shared. */
  @Test
  void questionsShareTheirReads() {
    long[] asked = new long[2];
    for (int storm = 0; storm < 2; storm++) {
      SimulatedCluster w = world(3);
      List<JobSpec> own = homeTeam(w);
      Random r = new Random(3);
      int[] answers = new int[2];
      for (int i = 0; storm == 1 && i < 8_000; i++) {
        w.clock.after(
            100_000 + i * 7,
            () -> {
              int node = r.nextInt(3);
              w.query(
                  node,
                  own.get(r.nextInt(own.size() - 1)).uid(),
                  a -> answers[a.status() == 200 ? 0 : 1]++);
            });
      }
      w.clock.runUntil(100_000);
      long before = w.state.requestLimiter.requestCount();
      w.clock.runUntil(161_000);
      asked[storm] = w.state.requestLimiter.requestCount() - before;
      w.clock.runUntil(400_000);
      assertServed(w, own);
      if (storm == 1) {
        assertEquals(8_000, answers[0], "all are answered");
      }
    }
    assertTrue(
        asked[1] <= asked[0] + 61 * STATE.requestsPerS() * 0.6,
        asked[0] + " requests, then " + asked[1]);
  }
}
