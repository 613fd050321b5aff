package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.settings.Settings;

/** The operators' service level objectives for job classes, as far as they affect placement. */
public final class ServiceLevelObjectives {
  /**
   * A start within at most this many seconds is prompt: there is no time to fetch an image, let
   * alone to boot a machine.
   */
  private static final double PROMPT_START_S = 15;

  private final Map<String, List<Double>> deadlineMultiples = new HashMap<>();
  private final Map<String, List<Double>> startWithinS = new HashMap<>();
  private final Map<String, List<Double>> finishWithinS = new HashMap<>();

  public ServiceLevelObjectives(List<Settings.Objective> objectives) {
    for (Settings.Objective objective : objectives) {
      if (objective.kind().equals("deadline") && objective.deadlineMultiple() > 1) {
        add(deadlineMultiples, objective, objective.deadlineMultiple());
      } else if (objective.kind().equals("wait")) {
        add(startWithinS, objective, objective.withinS());
      } else if (objective.kind().equals("finished")) {
        add(finishWithinS, objective, objective.withinS());
      }
    }
  }

  private static void add(
      Map<String, List<Double>> byClass, Settings.Objective objective, double value) {
    if (value > 0) {
      byClass.computeIfAbsent(objective.jobClass(), name -> new ArrayList<>()).add(value);
    }
  }

  /**
   * Returns by when a job must start to meet its next objective, in seconds from the time when it
   * became eligible to run. The objectives are its deadline or that of its dependents, multiples of
   * its own deadline, and a start or completion within a time; prompt starts are not considered.
   *
   * @param runS how long its tasks run, in seconds
   * @param atLeastS the earliest result: objectives that require an earlier start are ignored
   * @return the earliest time by which an objective requires the start; empty if all are ignored
   */
  OptionalDouble startByS(Job job, double runS, double atLeastS) {
    double best = Double.MAX_VALUE;
    best = earlier(best, job.deadlineS(), runS, atLeastS);
    best = earlier(best, job.latestDeadlineS(), runS, atLeastS);
    best = earlier(best, job.ownDeadlineS(1), runS, atLeastS);
    for (double multiple : valuesOfClass(deadlineMultiples, job)) {
      best = earlier(best, job.ownDeadlineS(multiple), runS, atLeastS);
    }
    for (double withinS : valuesOfClass(finishWithinS, job)) {
      best = earlier(best, withinS - runS, atLeastS);
    }
    for (double withinS : valuesOfClass(startWithinS, job)) {
      if (withinS > PROMPT_START_S) {
        best = earlier(best, withinS, atLeastS);
      }
    }
    return best == Double.MAX_VALUE ? OptionalDouble.empty() : OptionalDouble.of(best);
  }

  private static double earlier(
      double best, OptionalDouble deadlineS, double runS, double atLeastS) {
    return deadlineS.isPresent() ? earlier(best, deadlineS.getAsDouble() - runS, atLeastS) : best;
  }

  private static double earlier(double best, double startByS, double atLeastS) {
    return startByS >= atLeastS ? Math.min(best, startByS) : best;
  }

  private static List<Double> valuesOfClass(Map<String, List<Double>> byClass, Job job) {
    return byClass.getOrDefault(job.spec().jobClass(), List.of());
  }

  /**
   * Returns by when a job's last task should have started, in seconds from the time when the job
   * became eligible to run; empty when no objective requires a start, other than a prompt one.
   */
  OptionalDouble lastTaskStartByS(Job job) {
    return valuesOfClass(startWithinS, job).stream()
        .filter(seconds -> seconds > PROMPT_START_S)
        .mapToDouble(Double::doubleValue)
        .min();
  }

  /**
   * Returns the largest multiple of a job's deadline for which the class has an objective; 1 if
   * there is none.
   */
  public double largestDeadlineMultiple(String jobClass) {
    return deadlineMultiples.getOrDefault(jobClass, List.of()).stream()
        .mapToDouble(Double::doubleValue)
        .reduce(1, Math::max);
  }

  /** True when an objective requires a prompt start of the job's tasks. */
  public boolean requiresPromptStart(Job job) {
    return valuesOfClass(startWithinS, job).stream().anyMatch(seconds -> seconds <= PROMPT_START_S);
  }
}
