package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.settings.Settings;

/** What the operators' aims say of classes of jobs, as far as placing heeds it. */
public final class ServiceLevelObjectives {
  /** Who wants to start within this time can't wait for an image, let alone for a machine. */
  private static final double PROMPT_S = 15;

  private final Map<String, List<Double>> dueTimes = new HashMap<>();
  private final Map<String, List<Double>> startWithinS = new HashMap<>();
  private final Map<String, List<Double>> finishWithinS = new HashMap<>();

  public ServiceLevelObjectives(List<Settings.Objective> objectives) {
    for (Settings.Objective o : objectives) {
      if (o.kind().equals("deadline") && o.times() > 1) {
        add(dueTimes, o, o.times());
      } else if (o.kind().equals("wait")) {
        add(startWithinS, o, o.withinS());
      } else if (o.kind().equals("finished")) {
        add(finishWithinS, o, o.withinS());
      }
    }
  }

  private static void add(Map<String, List<Double>> to, Settings.Objective o, double value) {
    if (value > 0) {
      to.computeIfAbsent(o.jobClass(), c -> new ArrayList<>()).add(value);
    }
  }

  /**
   * By when, in seconds from when it could first run, a job must start: for its due time or that of
   * jobs that need it, for each multiple of its own that its class's aims name, for starting within
   * a time, and for being done within one. The earliest that is not before {@code atLeastS}; empty
   * when all are.
   *
   * @param runS how long its tasks run
   */
  OptionalDouble startByS(Job job, double runS, double atLeastS) {
    double best = Double.MAX_VALUE;
    best = earlier(best, job.deadlineS(), runS, atLeastS);
    best = earlier(best, job.latestDeadlineS(), runS, atLeastS);
    best = earlier(best, job.ownDeadlineS(1), runS, atLeastS);
    for (double times : of(dueTimes, job)) {
      best = earlier(best, job.ownDeadlineS(times), runS, atLeastS);
    }
    for (double withinS : of(finishWithinS, job)) {
      best = earlier(best, withinS - runS, atLeastS);
    }
    for (double withinS : of(startWithinS, job)) {
      if (withinS > PROMPT_S) {
        best = earlier(best, withinS, atLeastS);
      }
    }
    return best == Double.MAX_VALUE ? OptionalDouble.empty() : OptionalDouble.of(best);
  }

  private static double earlier(double best, OptionalDouble dueS, double runS, double atLeastS) {
    return dueS.isPresent() ? earlier(best, dueS.getAsDouble() - runS, atLeastS) : best;
  }

  private static double earlier(double best, double startByS, double atLeastS) {
    return startByS >= atLeastS ? Math.min(best, startByS) : best;
  }

  private static List<Double> of(Map<String, List<Double>> aims, Job job) {
    return aims.getOrDefault(job.spec().jobClass(), List.of());
  }

  /**
   * Within how many seconds of when it could first run a job's last task should have started; empty
   * when nobody says, or only that it should start at once.
   */
  OptionalDouble lastStartS(Job job) {
    return of(startWithinS, job).stream()
        .filter(s -> s > PROMPT_S)
        .mapToDouble(Double::doubleValue)
        .min();
  }

  /** The last multiple of its due time that counts for the class; 1 if none is named. */
  public double lastMultiple(String jobClass) {
    return dueTimes.getOrDefault(jobClass, List.of()).stream()
        .mapToDouble(Double::doubleValue)
        .reduce(1, Math::max);
  }

  /** Should its tasks start at once? */
  public boolean requiresPromptStart(Job job) {
    return of(startWithinS, job).stream().anyMatch(s -> s <= PROMPT_S);
  }
}
