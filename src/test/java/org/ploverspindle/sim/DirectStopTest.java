package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;

/**
 * Guards against tasks of cancelled jobs that run on until the next heartbeat of their machine. The
 * leader stops them by direct commands.
 */
class DirectStopTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void tasksOfCancelledJobsEndWithinOneSecond(long seed) {
    SimulatedCluster cluster =
        new SimulatedCluster(
            seed,
            new SimulatedCluster.Deployment(
                3,
                14,
                List.of("a"),
                new Settings.WorkerLimits(5, 26.5, 51.5),
                new Settings.StateLimits(120, 35, 8, 12),
                new Settings.CloudLimits(20, 3),
                List.of(
                    new Settings.Team("red", 8, 0, 0, 0), new Settings.Team("blue", 8, 0, 0, 0)),
                new Policy(3, 8, 15, 0, 100, 20, Map.of())));
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      cluster.clock.after(
          3_000 + i * 500,
          () -> {
            JobSpec job = DayEndCriteriaTest.job(cluster, "a", Priority.NORMAL, 2, 4, 200, 0);
            jobs.add(job);
            cluster.submitAndPoll(job);
          });
    }
    int[] machinesWithTasks = new int[1];
    cluster.clock.after(
        60_000,
        () -> {
          for (JobSpec job : jobs) {
            machinesWithTasks[0] += cluster.checker.hostsOf(job.uid()).size();
            cluster.cancel(job.uid(), 0);
          }
        });
    // Heartbeats are 3.75 to 6.25 s apart, so that after 1 s most workers have not sent one.
    cluster.clock.after(
        61_000,
        () -> {
          List<String> stillRunningOn = new ArrayList<>();
          jobs.forEach(job -> stillRunningOn.addAll(cluster.checker.hostsOf(job.uid())));
          assertEquals(List.of(), stillRunningOn);
        });
    cluster.clock.runUntil(70_000);
    assertTrue(
        machinesWithTasks[0] >= 8,
        machinesWithTasks[0] + " machines had tasks, at least 8 expected");
    assertEquals(List.of(), cluster.checker.violations());
  }
}
