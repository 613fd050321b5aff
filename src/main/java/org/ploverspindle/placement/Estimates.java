package org.ploverspindle.placement;

import java.util.HashMap;
import java.util.Map;
import org.ploverspindle.jobs.Job;

/** Owners' estimates, corrected by class from what finished tasks really took. */
public final class Estimates {
  private static final double WEIGHT = 0.08;

  private final Map<String, Double> ratioByClass = new HashMap<>();

  /** A task of the job ran this long, from being seen running to being seen done. */
  public void observed(Job job, double ranS) {
    if (job.spec().expectedS() <= 0 || ranS <= 0) {
      return;
    }
    double ratio = Math.min(8, Math.max(0.1, ranS / job.spec().expectedS()));
    ratioByClass.merge(
        job.spec().jobClass(), ratio, (old, now) -> old * (1 - WEIGHT) + now * WEIGHT);
  }

  /** How long a task of the job runs, in seconds. */
  public double runS(Job job) {
    return job.spec().expectedS() * ratio(job.spec().jobClass());
  }

  /** How much longer than estimated the tasks of a class have run. */
  double ratio(String jobClass) {
    return ratioByClass.getOrDefault(jobClass, 1.0);
  }
}
