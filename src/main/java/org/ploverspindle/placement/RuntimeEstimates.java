package org.ploverspindle.placement;

import java.util.HashMap;
import java.util.Map;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.JobSpec;

/**
 * Users' runtime estimates, corrected for each job class by how long its completed tasks have
 * actually run.
 */
public final class RuntimeEstimates {
  /** Weight of the latest completed task in the moving average of its job class. */
  private static final double LATEST_TASK_WEIGHT = 0.08;

  /** Lower bound of the ratio of one task, so that single outliers do not distort the average. */
  private static final double MIN_RATIO = 0.1;

  /** Upper bound of the ratio of one task, so that single outliers do not distort the average. */
  private static final double MAX_RATIO = 8;

  /** A running task is assumed to have at least this fraction of its estimated runtime left. */
  private static final double MIN_REMAINING_FRACTION = 0.2;

  private static final double MS_PER_S = 1_000;

  private final Map<String, Double> ratioByClass = new HashMap<>();

  /**
   * Records how long a completed task of the job ran.
   *
   * @param runtimeS seconds from the first heartbeat that showed the task running to the one that
   *     showed it completed
   */
  public void recordRuntime(Job job, double runtimeS) {
    if (job.spec().expectedS() <= 0 || runtimeS <= 0) {
      return;
    }
    double ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, runtimeS / job.spec().expectedS()));
    ratioByClass.merge(
        job.spec().jobClass(),
        ratio,
        (average, latest) -> average * (1 - LATEST_TASK_WEIGHT) + latest * LATEST_TASK_WEIGHT);
  }

  /** Returns the corrected estimate of how long a task of the job runs, in seconds. */
  public double estimatedRuntimeS(Job job) {
    return estimatedRuntimeS(job.spec());
  }

  /**
   * Returns the corrected estimate of how long a task runs, in seconds, for a job that need not be
   * in the job table.
   */
  public double estimatedRuntimeS(JobSpec spec) {
    return spec.expectedS() * ratio(spec.jobClass());
  }

  /** Returns for how many seconds the task has been running; 0 when it is not running yet. */
  static double runningForS(Placement placement, long nowMs) {
    return placement.runningSinceMs() < 0 ? 0 : (nowMs - placement.runningSinceMs()) / MS_PER_S;
  }

  /**
   * Returns for how many more seconds the task is expected to run. This is at least a fifth of its
   * estimated runtime, and {@link Double#MAX_VALUE} for a service, which runs until it is
   * cancelled.
   */
  double remainingS(Placement placement, long nowMs) {
    if (placement.job().spec().expectedS() <= 0) {
      return Double.MAX_VALUE;
    }
    double estimatedRuntimeS = estimatedRuntimeS(placement.job());
    return Math.max(
        estimatedRuntimeS * MIN_REMAINING_FRACTION,
        estimatedRuntimeS - runningForS(placement, nowMs));
  }

  /**
   * Returns the average ratio of actual to estimated runtime of a class's tasks; 1 if none has
   * completed.
   */
  double ratio(String jobClass) {
    return ratioByClass.getOrDefault(jobClass, 1.0);
  }
}
