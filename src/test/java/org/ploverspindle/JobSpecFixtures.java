package org.ploverspindle;

import java.util.List;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;

/** Jobs for tests that care about few of their fields. */
public final class JobSpecFixtures {
  private JobSpecFixtures() {}

  /** Independent tasks that may run anywhere, also on spot machines, and write no checkpoints. */
  public static JobSpec batch(
      String uid,
      String jobClass,
      String team,
      Priority priority,
      int tasks,
      double cores,
      double imageGb,
      double expectedS,
      double deadlineS) {
    return JobSpecBuilder.job(uid)
        .jobClass(jobClass)
        .team(team)
        .priority(priority)
        .tasks(tasks)
        .cores(cores)
        .image("image", imageGb)
        .expectedS(expectedS)
        .deadlineS(deadlineS)
        .build();
  }

  /** The same job, but its tasks write checkpoints. */
  public static JobSpec withCheckpoints(JobSpec spec, double intervalS, double costS) {
    return JobSpecBuilder.from(spec).checkpoints(intervalS, costS).build();
  }

  /** The same job, but it depends on others. */
  public static JobSpec withDependencies(JobSpec spec, String... dependencies) {
    return JobSpecBuilder.from(spec).dependsOn(List.of(dependencies)).build();
  }
}
