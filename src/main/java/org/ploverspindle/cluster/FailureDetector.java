package org.ploverspindle.cluster;

import java.util.Map;
import java.util.function.Predicate;

/**
 * Decides whether a failed task is the fault of its job or of its machine. A job that was submitted
 * with a mistake fails on every machine; a broken machine fails every job. So a failure counts
 * against a machine only if the job has shown that it runs elsewhere, and a machine is returned
 * only on that evidence. Without this rule, the first jobs with mistakes, some of hundreds of
 * tasks, kept a large part of a fleet from being used for a minute each.
 */
public final class FailureDetector {
  /** For each failure by a job that works elsewhere. */
  private static final long SHUN_MS = 10_000;

  private static final int MOST_COUNTED = 8;

  /** For each job that may be the one at fault. */
  private static final long DOUBT_MS = 2_000;

  private static final int MOST_DOUBTS = 5;

  /** So many failures of one job that works elsewhere are not its own. */
  private static final int FAILURES = 3;

  private static final int JOBS = 2;

  private final Predicate<String> works;

  /**
   * @param works whether the job has shown that it can run; those that are done have
   */
  public FailureDetector(Predicate<String> works) {
    this.works = works;
  }

  /** A task failed on the machine; true when the machine is now known to be at fault. */
  public boolean failed(Machine machine, Job job, long nowMs) {
    int accusers = 0;
    int failures = 0;
    for (Map.Entry<String, Integer> e : machine.failures().byJob().entrySet()) {
      if (works.test(e.getKey())) {
        accusers++;
        failures += e.getValue();
      }
    }
    if (accusers > 0) {
      machine.failures().suspect();
      machine.failures().cordon(nowMs + SHUN_MS * Math.min(MOST_COUNTED, failures));
    } else if (!job.isFailingEverywhere(nowMs)) {
      // Until somebody shows whose fault it is: a broken machine is empty, and would draw all work.
      machine
          .failures()
          .cordon(nowMs + DOUBT_MS * Math.min(MOST_DOUBTS, machine.failures().byJob().size()));
    }
    return accusers >= JOBS || accusers > 0 && failures >= FAILURES;
  }
}
