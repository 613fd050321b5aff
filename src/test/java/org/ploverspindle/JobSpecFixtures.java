package org.ploverspindle;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;

/** Jobs for tests that care about few of their fields. */
public final class JobSpecFixtures {
  private JobSpecFixtures() {}

  /** Independent tasks that may run anywhere, also on spot machines, and never save. */
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
    return new JobSpec(
        uid,
        jobClass,
        team,
        JobKind.BATCH,
        urgency,
        tasks,
        cores,
        0,
        1,
        Optional.empty(),
        Optional.empty(),
        false,
        false,
        true,
        "image",
        imageGb,
        runS,
        0,
        0,
        dueS > 0 ? OptionalDouble.of(dueS) : OptionalDouble.empty(),
        List.of());
  }

  /** The same job, but its tasks save their progress. */
  public static JobSpec saving(JobSpec s, double saveEveryS, double saveCostS) {
    return copy(s, saveEveryS, saveCostS, s.dependencies());
  }

  /** The same job, but it awaits others. */
  public static JobSpec after(JobSpec s, String... dependencies) {
    return copy(s, s.checkpointIntervalS(), s.checkpointCostS(), List.of(dependencies));
  }

  private static JobSpec copy(
      JobSpec s, double saveEveryS, double saveCostS, List<String> dependencies) {
    return new JobSpec(
        s.uid(),
        s.jobClass(),
        s.team(),
        s.kind(),
        s.priority(),
        s.tasks(),
        s.cores(),
        s.accelerators(),
        s.memoryGb(),
        s.types(),
        s.zone(),
        s.oneZone(),
        s.spreadOverZones(),
        s.spot(),
        s.image(),
        s.imageGb(),
        s.expectedS(),
        saveEveryS,
        saveCostS,
        s.deadlineS(),
        dependencies);
  }
}
