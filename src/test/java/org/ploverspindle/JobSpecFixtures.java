package org.ploverspindle;

import java.util.List;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;

/** Creates jobs for tests to which only a few fields matter. */
public final class JobSpecFixtures {
  private JobSpecFixtures() {}

  /**
   * A batch job whose tasks may run anywhere, spot machines included, and write no checkpoints.
   *
   * @param deadlineS seconds after acceptance; 0: no deadline
   */
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

  /** A copy of the job whose tasks write checkpoints. */
  public static JobSpec withCheckpoints(JobSpec spec, double intervalS, double costS) {
    return JobSpecBuilder.from(spec).checkpoints(intervalS, costS).build();
  }

  /** A copy of the job that depends on the jobs with these uids. */
  public static JobSpec withDependencies(JobSpec spec, String... dependencies) {
    return JobSpecBuilder.from(spec).dependsOn(List.of(dependencies)).build();
  }
}
