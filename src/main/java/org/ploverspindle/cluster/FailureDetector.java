package org.ploverspindle.cluster;

import java.util.Map;
import java.util.function.Predicate;

/**
 * Decides whether a task failed because of its job or because of its machine. A faulty job fails on
 * every machine, and a faulty machine fails the tasks of every job. A failure therefore counts
 * against a machine only if the job is known to run elsewhere, and only such failures make a
 * machine faulty. Otherwise a few faulty jobs would take many machines out of use.
 */
public final class FailureDetector {
  /** Cordon time for each counted failure of the jobs that are known to run. */
  private static final long CORDON_MS_PER_FAILURE = 10_000;

  private static final int MAX_COUNTED_FAILURES = 8;

  /**
   * Cordon time for each job that failed on the machine, while none of these jobs is known to run.
   * Shorter than {@link #CORDON_MS_PER_FAILURE}, because each of these jobs may itself be faulty.
   */
  private static final long CORDON_MS_PER_UNPROVEN_JOB = 2_000;

  private static final int MAX_COUNTED_UNPROVEN_JOBS = 5;

  /** A machine is faulty once one job that is known to run has failed on it this many times. */
  private static final int FAULTY_MACHINE_FAILURES = 3;

  /** A machine is faulty once this many jobs that are known to run have failed on it. */
  private static final int FAULTY_MACHINE_JOBS = 2;

  private final Predicate<String> isKnownToRun;

  /**
   * @param isKnownToRun whether the job with the given UID has shown that it can run; true for
   *     every completed job
   */
  public FailureDetector(Predicate<String> isKnownToRun) {
    this.isKnownToRun = isKnownToRun;
  }

  /**
   * Evaluates the failures on the machine after a task of the job has failed there, and cordons the
   * machine for a limited time if it may be faulty.
   *
   * @return whether the machine is known to be faulty
   */
  public boolean detectFault(Machine machine, Job job, long nowMs) {
    int jobsKnownToRun = 0;
    int failuresOfJobsKnownToRun = 0;
    MachineFailureHistory history = machine.failures();
    for (Map.Entry<String, Integer> entry : history.byJob().entrySet()) {
      if (isKnownToRun.test(entry.getKey())) {
        jobsKnownToRun++;
        failuresOfJobsKnownToRun += entry.getValue();
      }
    }
    if (jobsKnownToRun > 0) {
      int counted = Math.min(MAX_COUNTED_FAILURES, failuresOfJobsKnownToRun);
      history.markSuspect();
      history.cordon(nowMs + CORDON_MS_PER_FAILURE * counted);
    } else if (!job.isFailingEverywhere(nowMs)) {
      // It is not known yet whether the job or the machine is faulty. A faulty machine has free
      // resources again right after each failure and would attract all pending tasks without the
      // cordon.
      int counted = Math.min(MAX_COUNTED_UNPROVEN_JOBS, history.byJob().size());
      history.cordon(nowMs + CORDON_MS_PER_UNPROVEN_JOB * counted);
    }
    return jobsKnownToRun >= FAULTY_MACHINE_JOBS
        || jobsKnownToRun > 0 && failuresOfJobsKnownToRun >= FAULTY_MACHINE_FAILURES;
  }
}
