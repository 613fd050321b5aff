package org.ploverspindle.placement;

import java.util.HashMap;
import java.util.Map;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.JobSpec;

/** Owners' estimates, corrected by class from what finished tasks really took. */
public final class RuntimeEstimates {
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
    return runS(job.spec());
  }

  /** The same for a job that does not wait for room yet. */
  public double runS(JobSpec spec) {
    return spec.expectedS() * ratio(spec.jobClass());
  }

  /**
   * How long what is placed goes on, in seconds. What has run for longer than its estimate has a
   * fifth of it left; a replica, which ends when it is cancelled, goes on for ever.
   */
  double remainingS(Placement p, long nowMs) {
    if (p.job().spec().expectedS() <= 0) {
      return Double.MAX_VALUE;
    }
    double ranS = p.runningSinceMs() < 0 ? 0 : (nowMs - p.runningSinceMs()) / 1000.0;
    double runS = runS(p.job());
    return Math.max(runS * 0.2, runS - ranS);
  }

  /** How much longer than estimated the tasks of a class have run. */
  double ratio(String jobClass) {
    return ratioByClass.getOrDefault(jobClass, 1.0);
  }
}
