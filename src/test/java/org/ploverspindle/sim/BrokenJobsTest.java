package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;

/** Jobs with mistakes among others, on machines some of which are broken as well. */
class BrokenJobsTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void jobsThatFailEverywhereCostTheOthersLittleAndBrokenMachinesAreStillFound(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed, 3, 24, List.of("a"));
    List<JobSpec> broken = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      boolean mistake = i % 20 == 7;
      w.clock.after(
          3_000 + i * 1_000,
          () -> {
            JobSpec spec =
                DayEndCriteriaTest.job(
                    w,
                    mistake ? SimWorker.FAILING_CLASS : "a",
                    mistake ? Priority.HIGH : Priority.NORMAL,
                    mistake ? 200 : 4,
                    1,
                    5,
                    60);
            if (mistake) {
              broken.add(spec);
            }
            w.submitAndPoll(spec);
          });
    }
    List<SimWorker> sick = new ArrayList<>();
    w.clock.after(
        40_000,
        () -> {
          sick.addAll(w.cloud.workers().subList(0, 2));
          sick.forEach(x -> x.setFailing(true));
        });
    int[] launches = new int[2];
    w.clock.after(60_000, () -> w.crash(Math.max(0, w.leader()), 500));
    w.clock.after(
        115_000, () -> assertTrue(sick.stream().allMatch(SimWorker::isTerminated), "found by now"));
    w.clock.after(120_000, () -> launches[0] = w.checker.starts());
    w.clock.after(180_000, () -> launches[1] = w.checker.starts());
    w.clock.after(180_000, () -> broken.forEach(b -> w.cancel(b.uid(), 0)));
    w.clock.after(181_000, w::faultsEnded);
    w.clock.runUntil(300_000);
    w.checker.endOfDay();
    assertEquals(List.of(), w.checker.broken());
    assertEquals(95, w.checker.jobsDone());
    int tries = launches[1] - launches[0];
    assertTrue(tries <= 5 * 8, tries + " tries of five broken jobs in a minute");
  }
}
