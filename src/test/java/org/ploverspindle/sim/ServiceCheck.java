package org.ploverspindle.sim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.ploverspindle.sim.InvariantChecker.Rule;

/**
 * Checks that of each class, of each team, and of the largest jobs of each class at least half is
 * served, and that each of the largest jobs started in time. The largest jobs of a class are those
 * with at least half as many tasks as its largest one. A service is served once it has started, any
 * other job once all its tasks are complete. Only accepted jobs that may run count.
 *
 * @param mayRun whether all dependencies are complete, and neither they nor the job were cancelled
 * @param readyMs when the job could first run
 */
record ServiceCheck(
    Predicate<ObservedJob> mayRun,
    ToLongFunction<ObservedJob> readyMs,
    BiConsumer<Rule, String> report) {
  /** Longest time from when one of the largest jobs could run to its first start. */
  private static final long MAX_START_DELAY_MS = 240_000;

  void check(Collection<ObservedJob> jobs) {
    Map<String, List<ObservedJob>> groups = new LinkedHashMap<>();
    Map<String, Integer> largest = new HashMap<>();
    for (ObservedJob job : jobs) {
      largest.merge(job.spec.jobClass(), job.spec.tasks(), Math::max);
    }
    for (ObservedJob job : jobs) {
      if (!mayRun.test(job) || job.acceptedMs == Long.MAX_VALUE) {
        continue;
      }
      String jobClass = job.spec.jobClass();
      groups.computeIfAbsent("class " + jobClass, k -> new ArrayList<>()).add(job);
      groups.computeIfAbsent("team " + job.spec.team(), k -> new ArrayList<>()).add(job);
      if (job.spec.tasks() * 2 >= largest.get(jobClass)) {
        groups.computeIfAbsent("largest of " + jobClass, k -> new ArrayList<>()).add(job);
        checkStartDelay(job);
      }
    }
    groups.forEach(this::checkServedShare);
  }

  private void checkStartDelay(ObservedJob job) {
    if (job.firstStartMs < 0 || job.firstStartMs - readyMs.applyAsLong(job) > MAX_START_DELAY_MS) {
      report.accept(
          Rule.STARVED,
          job.spec.uid()
              + ", one of the largest of its class, first started at (ms, -1 if never) "
              + job.firstStartMs);
    }
  }

  private void checkServedShare(String name, List<ObservedJob> members) {
    long served =
        members.stream()
            .filter(job -> job.spec.expectedS() > 0 ? job.isComplete() : job.firstStartMs >= 0)
            .count();
    if (served * 2 < members.size()) {
      report.accept(
          Rule.STARVED,
          name + ": " + served + " of " + members.size() + " jobs served, fewer than half");
    }
  }
}
