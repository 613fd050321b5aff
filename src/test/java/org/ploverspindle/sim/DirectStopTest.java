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

/** Cancelled tasks do not run on for nobody until their machines happen to report. */
class DirectStopTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void tasksOfACancelledJobAreStoppedBeforeTheirMachinesReport(long seed) {
    SimulatedCluster w =
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
      w.clock.after(
          3_000 + i * 500,
          () -> {
            JobSpec job = DayEndCriteriaTest.job(w, "a", Priority.NORMAL, 2, 4, 200, 0);
            jobs.add(job);
            w.submitAndPoll(job);
          });
    }
    int[] machines = new int[1];
    w.clock.after(
        60_000,
        () -> {
          for (JobSpec job : jobs) {
            machines[0] += w.checker.hostsOf(job.uid()).size();
            w.cancel(job.uid(), 0);
          }
        });
    // A report comes 3.75 to 6.25 s after the one before.
    w.clock.after(
        61_000,
        () -> {
          List<String> on = new ArrayList<>();
          jobs.forEach(job -> on.addAll(w.checker.hostsOf(job.uid())));
          assertEquals(List.of(), on);
        });
    w.clock.runUntil(70_000);
    assertTrue(machines[0] >= 8, machines[0] + " machines had tasks");
    assertEquals(List.of(), w.checker.broken());
  }
}
