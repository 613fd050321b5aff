package org.ploverspindle.sim;

import java.util.List;
import java.util.Random;
import org.ploverspindle.JobSpecBuilder;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;

/**
 * Jobs of random pipelines. The random draws and their order must not change: tests name scenarios
 * by their seeds, and another draw would give each seed another scenario.
 */
final class RandomPipelineSteps {
  private RandomPipelineSteps() {}

  /**
   * A random job that depends on others.
   *
   * @param maxTasks the largest number of tasks; with 1, no random number is drawn for it
   */
  static JobSpec step(
      String uid, String classPrefix, int maxTasks, Random random, List<String> dependencies) {
    boolean checkpoints = random.nextInt(3) == 0;
    return JobSpecBuilder.job(uid)
        .jobClass(classPrefix + random.nextInt(2))
        .team(random.nextBoolean() ? "red" : "blue")
        .priority(Priority.values()[random.nextInt(4)])
        .tasks(maxTasks == 1 ? 1 : 1 + random.nextInt(maxTasks))
        .cores(1 + random.nextInt(3))
        .memoryGb(1 + random.nextInt(4))
        .oneZone(random.nextInt(5) == 0)
        .spreadOverZones(random.nextInt(5) == 0)
        .spot(random.nextInt(4) > 0)
        .image("image-" + random.nextInt(3), 1)
        .expectedS(1 + random.nextInt(8))
        .checkpoints(checkpoints ? 3 : 0, checkpoints ? 1 : 0)
        .deadlineS(random.nextBoolean() ? 90 : 0)
        .dependsOn(dependencies)
        .build();
  }
}
