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
      Priority urgency,
      int tasks,
      double cores,
      double imageGb,
      double runS,
      double dueS) {
    return JobSpecBuilder.job(uid)
        .jobClass(jobClass)
        .team(team)
        .priority(urgency)
        .tasks(tasks)
        .cores(cores)
        .image("image", imageGb)
        .runsForS(runS)
        .deadlineS(dueS)
        .build();
  }

  /** The same job, but its tasks write checkpoints. */
  public static JobSpec saving(JobSpec s, double saveEveryS, double saveCostS) {
    return JobSpecBuilder.from(s).checkpoints(saveEveryS, saveCostS).build();
  }

  /** The same job, but it depends on others. */
  public static JobSpec after(JobSpec s, String... dependencies) {
    return JobSpecBuilder.from(s).dependsOn(List.of(dependencies)).build();
  }
}
