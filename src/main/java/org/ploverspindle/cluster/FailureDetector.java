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
  private static final long CORDON_MS_PER_FAILURE = 10_000;

  private static final int MAX_COUNTED_FAILURES = 8;

  /** For each job that may be the one at fault. */
  private static final long CORDON_MS_PER_UNPROVEN_JOB = 2_000;

  private static final int MAX_COUNTED_UNPROVEN_JOBS = 5;

  /** So many failures of one job that works elsewhere are not its own. */
  private static final int FAULTY_MACHINE_FAILURES = 3;

  private static final int FAULTY_MACHINE_JOBS = 2;

  private final Predicate<String> isKnownToRun;

  /**
   * @param isKnownToRun whether the job has shown that it can run; those that are done have
   */
  public FailureDetector(Predicate<String> isKnownToRun) {
    this.isKnownToRun = isKnownToRun;
  }

  /** A task failed on the machine; true when the machine is now known to be at fault. */
  public boolean failed(Machine machine, Job job, long nowMs) {
    int jobsKnownToRun = 0;
    int failuresOfThem = 0;
    for (Map.Entry<String, Integer> entry : machine.failures().byJob().entrySet()) {
      if (isKnownToRun.test(entry.getKey())) {
        jobsKnownToRun++;
        failuresOfThem += entry.getValue();
      }
    }
    if (jobsKnownToRun > 0) {
      machine.failures().markSuspect();
      machine
          .failures()
          .cordon(nowMs + CORDON_MS_PER_FAILURE * Math.min(MAX_COUNTED_FAILURES, failuresOfThem));
    } else if (!job.isFailingEverywhere(nowMs)) {
      // Until somebody shows whose fault it is: a broken machine is empty, and would draw all work.
      machine
          .failures()
          .cordon(
              nowMs
                  + CORDON_MS_PER_UNPROVEN_JOB
                      * Math.min(MAX_COUNTED_UNPROVEN_JOBS, machine.failures().byJob().size()));
    }
    return jobsKnownToRun >= FAULTY_MACHINE_JOBS
        || jobsKnownToRun > 0 && failuresOfThem >= FAULTY_MACHINE_FAILURES;
  }
}
