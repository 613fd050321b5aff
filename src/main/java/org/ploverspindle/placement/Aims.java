package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.ploverspindle.jobs.Job;
import org.ploverspindle.settings.Settings;

/** What the operators' aims say of classes of jobs, as far as placing heeds it. */
public final class Aims {
  /** Who wants to start within this time can't wait for an image, let alone for a machine. */
  private static final double PROMPT_S = 15;

  private final Map<String, List<Double>> dueTimes = new HashMap<>();
  private final Map<String, List<Double>> startWithinS = new HashMap<>();
  private final Map<String, List<Double>> finishWithinS = new HashMap<>();

  public Aims(List<Settings.Objective> objectives) {
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
   * By when, in seconds from its submission, a job must start: for its due time, for each multiple
   * of it that its class's aims name, for starting within a time, and for being done within one.
   * The earliest that is not before {@code atLeastS}; empty when all are.
   *
   * @param runS how long its tasks run
   */
  OptionalDouble startByS(Job job, double runS, double atLeastS) {
    double best = Double.MAX_VALUE;
    if (job.spec().dueS().isPresent()) {
      double dueS = job.spec().dueS().getAsDouble();
      best = earlier(best, dueS - runS, atLeastS);
      for (double times : of(dueTimes, job)) {
        best = earlier(best, dueS * times - runS, atLeastS);
      }
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

  private static double earlier(double best, double startByS, double atLeastS) {
    return startByS >= atLeastS ? Math.min(best, startByS) : best;
  }

  private static List<Double> of(Map<String, List<Double>> aims, Job job) {
    return aims.getOrDefault(job.spec().jobClass(), List.of());
  }

  /**
   * Within how many seconds of its submission a job's last task should have started; empty when
   * nobody says, or only that it should start at once.
   */
  OptionalDouble lastStartS(Job job) {
    return of(startWithinS, job).stream()
        .filter(s -> s > PROMPT_S)
        .mapToDouble(Double::doubleValue)
        .min();
  }

  /** Should its tasks start at once? */
  public boolean prompt(Job job) {
    return of(startWithinS, job).stream().anyMatch(s -> s <= PROMPT_S);
  }
}
