package org.ploverspindle.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.ploverspindle.placement.SixteenCoreMachine.NOW;
import static org.ploverspindle.placement.SixteenCoreMachine.fleet;
import static org.ploverspindle.placement.SixteenCoreMachine.job;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.model.Priority;

/**
 * Guards against an order of jobs in which a large job makes many others miss their deadlines when
 * there is more work than capacity, and against lower priorities that are served before higher
 * ones.
 */
class AdmissionOrderTest {
  private static List<String> order(Job... byLatestStart) {
    return order(Map.of(), byLatestStart);
  }

  private static List<String> order(Map<Integer, Capacity> teamCapacity, Job... byLatestStart) {
    Function<Job, OptionalDouble> slack =
        job -> {
          double slackS = job.spec().deadlineS().orElseThrow() - job.spec().expectedS();
          return slackS < 0 ? OptionalDouble.empty() : OptionalDouble.of(slackS);
        };
    RuntimeEstimates estimates = new RuntimeEstimates();
    Capacity all = new Capacity(fleet(), estimates, NOW, 60_000);
    return new AdmissionOrder(slack, all, teamCapacity, estimates, NOW)
        .order(List.of(byLatestStart)).stream().map(Job::uid).toList();
  }

  @Test
  void capacityForAllJobsKeepsTheOrder() {
    assertEquals(
        List.of("run-1", "run-2"),
        order(job("run-1", Priority.NORMAL, 4, 10, 30), job("run-2", Priority.NORMAL, 4, 10, 60)));
  }

  @Test
  void largestJobIsDeferredWhenItMakesOthersLate() {
    assertEquals(
        List.of("run-2", "run-3", "run-1"),
        order(
            job("run-1", Priority.NORMAL, 60, 10, 30),
            job("run-2", Priority.NORMAL, 4, 10, 32),
            job("run-3", Priority.NORMAL, 4, 10, 34)));
  }

  @Test
  void jobsThatCannotBeInTimeAreServedLastWithTheLeastWorkFirst() {
    assertEquals(
        List.of("run-3", "run-2", "run-1"),
        order(
            job("run-1", Priority.NORMAL, 9, 50, 20),
            job("run-2", Priority.NORMAL, 2, 50, 20),
            job("run-3", Priority.NORMAL, 4, 10, 60)));
  }

  @Test
  void largestJobOfATeamIsDeferredWhenTheTeamLimitMakesOthersLate() {
    Job[] jobs = {
      job("run-1", Priority.NORMAL, 8, 10, 30),
      job("run-2", Priority.NORMAL, 2, 10, 32),
      job("run-3", Priority.NORMAL, 2, 10, 34)
    };
    assertEquals(List.of("run-1", "run-2", "run-3"), order(jobs));
    // All 16 cores of the machine are free, but the team's limit allows only 4 of them.
    Capacity limited = new Capacity(List.of(), 4_000, new RuntimeEstimates(), NOW);
    assertEquals(List.of("run-2", "run-3", "run-1"), order(Map.of(0, limited), jobs));
  }

  @Test
  void lowerPriorityJobIsServedAfterAHigherPriorityJobThatIsLate() {
    List<String> order =
        order(job("run-1", Priority.HIGH, 90, 50, 20), job("run-2", Priority.NORMAL, 1, 1, 60));
    assertEquals(List.of("run-1", "run-2"), order);
  }
}
