package org.ploverspindle.cluster;

import java.util.Map;
import java.util.function.Predicate;

/**
 * Decides whether a failed task is the fault of its job or of its machine. A job that was submitted
 * with a mistake fails on every machine; a broken machine fails every job. So a failure counts
 * against a machine only if its job is known to run elsewhere, and a machine is taken out of use
 * only on that evidence: otherwise a few jobs with mistakes would take much of the cluster.
 */
public final class FailureDetector {
  private static final long CORDON_MS_PER_FAILURE = 10_000;
  private static final int MAX_COUNTED_FAILURES = 8;

  /** Shorter, as each of these jobs may itself be at fault. */
  private static final long CORDON_MS_PER_UNPROVEN_JOB = 2_000;

  private static final int MAX_COUNTED_UNPROVEN_JOBS = 5;

  /** Failures of a single job that is known to run, from which on the machine is at fault. */
  private static final int FAULTY_MACHINE_FAILURES = 3;

  /** Jobs that are known to run and fail here, from which on the machine is at fault. */
  private static final int FAULTY_MACHINE_JOBS = 2;

  private final Predicate<String> isKnownToRun;

  /**
   * @param isKnownToRun whether the job with this uid has shown that it can run, as all jobs have
   *     that are completed
   */
  public FailureDetector(Predicate<String> isKnownToRun) {
    this.isKnownToRun = isKnownToRun;
  }

  /**
   * Evaluates the failures on the machine after a task of the job has failed there, and cordons the
   * machine for a time if it may be at fault.
   *
   * @return whether the machine is known to be at fault
   */
  public boolean detectFault(Machine machine, Job job, long nowMs) {
    int jobsKnownToRun = 0;
    int failuresOfThem = 0;
    MachineFailureHistory history = machine.failures();
    for (Map.Entry<String, Integer> entry : history.byJob().entrySet()) {
      if (isKnownToRun.test(entry.getKey())) {
        jobsKnownToRun++;
        failuresOfThem += entry.getValue();
      }
    }
    if (jobsKnownToRun > 0) {
      int counted = Math.min(MAX_COUNTED_FAILURES, failuresOfThem);
      history.markSuspect();
      history.cordon(nowMs + CORDON_MS_PER_FAILURE * counted);
    } else if (!job.isFailingEverywhere(nowMs)) {
      // It is not known yet what is at fault. A broken machine has free resources again at once,
      // and without the cordon would attract all pending tasks.
      int counted = Math.min(MAX_COUNTED_UNPROVEN_JOBS, history.byJob().size());
      history.cordon(nowMs + CORDON_MS_PER_UNPROVEN_JOB * counted);
    }
    return jobsKnownToRun >= FAULTY_MACHINE_JOBS
        || jobsKnownToRun > 0 && failuresOfThem >= FAULTY_MACHINE_FAILURES;
  }
}
