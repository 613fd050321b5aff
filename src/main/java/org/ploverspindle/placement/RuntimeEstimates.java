package org.ploverspindle.placement;

import java.util.HashMap;
import java.util.Map;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.JobSpec;

/** Users' runtime estimates, corrected by job class from what finished tasks really took. */
public final class RuntimeEstimates {
  /** The weight of a finished task in its class's moving average. */
  private static final double WEIGHT = 0.08;

  /** Bounds of one task's ratio, so that single tasks do not spoil the average. */
  private static final double MIN_RATIO = 0.1;

  private static final double MAX_RATIO = 8;

  /** The part of its estimate that a task has left at least. */
  private static final double MIN_REMAINING = 0.2;

  private static final double MS_PER_S = 1_000;

  private final Map<String, Double> ratioByClass = new HashMap<>();

  /**
   * A task of the job has finished.
   *
   * @param ranS seconds from the first heartbeat with it running to the one with it done
   */
  public void observed(Job job, double ranS) {
    if (job.spec().expectedS() <= 0 || ranS <= 0) {
      return;
    }
    double ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ranS / job.spec().expectedS()));
    ratioByClass.merge(
        job.spec().jobClass(),
        ratio,
        (average, latest) -> average * (1 - WEIGHT) + latest * WEIGHT);
  }

  /** How long a task of the job runs, in seconds. */
  public double runS(Job job) {
    return runS(job.spec());
  }

  /** The same for a job that is not in the job table. */
  public double runS(JobSpec spec) {
    return spec.expectedS() * ratio(spec.jobClass());
  }

  /** For how many seconds the task has been running; 0 when it is not running yet. */
  static double ranS(Placement placement, long nowMs) {
    return placement.runningSinceMs() < 0 ? 0 : (nowMs - placement.runningSinceMs()) / MS_PER_S;
  }

  /**
   * For how many seconds a placement goes on: a fifth of its estimate at least, and without end for
   * a service, which runs until it is cancelled.
   */
  double remainingS(Placement placement, long nowMs) {
    if (placement.job().spec().expectedS() <= 0) {
      return Double.MAX_VALUE;
    }
    double runS = runS(placement.job());
    return Math.max(runS * MIN_REMAINING, runS - ranS(placement, nowMs));
  }

  /** By what factor the tasks of a class have run longer than estimated. */
  double ratio(String jobClass) {
    return ratioByClass.getOrDefault(jobClass, 1.0);
  }
}
