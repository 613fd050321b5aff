package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;

/**
 * Some jobs fail on every machine, and two machines fail every task. Guards against retries of the
 * failing jobs that take the capacity of the others, and against failing machines that stay in use
 * because the failing jobs hide them.
 */
class BrokenJobsTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void failingJobsAreRetriedSeldomAndFailingMachinesAreTerminated(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, 3, 24, List.of("a"));
    List<JobSpec> failingJobs = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      boolean failing = i % 20 == 7;
      cluster.clock.after(
          3_000 + i * 1_000,
          () -> {
            JobSpec spec =
                DayEndCriteriaTest.job(
                    cluster,
                    failing ? SimWorker.FAILING_CLASS : "a",
                    failing ? Priority.HIGH : Priority.NORMAL,
                    failing ? 200 : 4,
                    1,
                    5,
                    60);
            if (failing) {
              failingJobs.add(spec);
            }
            cluster.submitAndPoll(spec);
          });
    }
    List<SimWorker> failingMachines = new ArrayList<>();
    cluster.clock.after(
        40_000,
        () -> {
          failingMachines.addAll(cluster.cloud.workers().subList(0, 2));
          failingMachines.forEach(worker -> worker.setFailing(true));
        });
    int[] launches = new int[2];
    cluster.clock.after(60_000, () -> cluster.crash(Math.max(0, cluster.leader()), 500));
    cluster.clock.after(
        115_000,
        () ->
            assertTrue(
                failingMachines.stream().allMatch(SimWorker::isTerminated),
                "both failing machines are terminated by 115 s"));
    cluster.clock.after(120_000, () -> launches[0] = cluster.checker.starts());
    cluster.clock.after(180_000, () -> launches[1] = cluster.checker.starts());
    cluster.clock.after(180_000, () -> failingJobs.forEach(job -> cluster.cancel(job.uid(), 0)));
    cluster.clock.after(181_000, cluster::faultsEnded);
    cluster.clock.runUntil(300_000);
    cluster.checker.checkService();
    assertEquals(List.of(), cluster.checker.violations());
    assertEquals(95, cluster.checker.jobsDone());
    int attempts = launches[1] - launches[0];
    assertTrue(
        attempts <= 5 * 8, attempts + " attempts of five failing jobs in a minute, 40 allowed");
  }
}
