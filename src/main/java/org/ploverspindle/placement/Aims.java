package org.ploverspindle.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ploverspindle.jobs.Job;
import org.ploverspindle.settings.Settings;

/** What the operators' aims say of classes of jobs, as far as placing heeds it. */
public final class Aims {
  /** Who wants to start within this time can't wait for an image, let alone for a machine. */
  private static final double PROMPT_S = 15;

  private final Map<String, Double> later = new HashMap<>();
  private final Map<String, Double> startWithinS = new HashMap<>();

  public Aims(List<Settings.Objective> objectives) {
    for (Settings.Objective o : objectives) {
      if (o.kind().equals("deadline") && o.times() > 1) {
        later.merge(o.jobClass(), o.times(), Math::max);
      } else if (o.kind().equals("wait") && o.withinS() > 0) {
        startWithinS.merge(o.jobClass(), o.withinS(), Math::min);
      }
    }
  }

  /** For a class whose aims allow some jobs a multiple of their due time, that multiple; else 1. */
  double laterTimes(Job job) {
    return later.getOrDefault(job.spec().jobClass(), 1.0);
  }

  /** Should its tasks start at once? */
  public boolean prompt(Job job) {
    return startWithinS.getOrDefault(job.spec().jobClass(), Double.MAX_VALUE) <= PROMPT_S;
  }
}
