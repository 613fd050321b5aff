package org.ploverspindle.leadership;

import org.ploverspindle.cluster.FailureDetector;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.Replica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles failures of tasks. Decides when a failed task may be retried and whether its machine is
 * drained, and reports jobs that fail on several machines.
 */
final class TaskFailures {
  private static final Logger LOG = LoggerFactory.getLogger(TaskFailures.class);

  /** The delay before a retry grows by this time with each failure of the job. */
  private static final long RETRY_STEP_MS = 1_000;

  private static final long MAX_RETRY_DELAY_MS = 20_000;

  private final Scheduler scheduler;
  private final JobTable jobs;
  private final Replica replica;
  private final FailureDetector detector;

  TaskFailures(Scheduler scheduler, JobTable jobs, Replica replica) {
    this.scheduler = scheduler;
    this.jobs = jobs;
    this.replica = replica;
    this.detector = new FailureDetector(this::isKnownToRun);
  }

  /** Handles a task that ended with an error on its machine. */
  void handleFailure(Placement placement, long nowMs) {
    Job job = placement.job();
    Machine machine = placement.machine();
    boolean wasFailingEverywhere = job.isFailingEverywhere(nowMs);
    long runningSinceMs = placement.runningSinceMs();
    job.recordFailure(machine.host(), runningSinceMs < 0 ? 0 : nowMs - runningSinceMs, nowMs);
    if (job.isKnownToRun(nowMs)) {
      long retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, RETRY_STEP_MS * (1 + job.failures()));
      job.backOff(placement.task(), nowMs + retryDelayMs);
    }
    if (detector.detectFault(machine, job, nowMs) && !machine.isDraining()) {
      LOG.info(
          "machine drained, it fails tasks of jobs that run elsewhere: machine={}", machine.host());
      machine.drain();
    }
    if (!wasFailingEverywhere && job.isFailingEverywhere(nowMs)) {
      LOG.info(
          "job failing on several machines and running on none, retries are limited: job={}",
          job.uid());
    }
  }

  /**
   * Whether the job has shown that it can run. A job that is no longer in the table has shown it if
   * its completion is recorded.
   */
  private boolean isKnownToRun(String uid) {
    return jobs.get(uid)
        .map(job -> job.isKnownToRun(scheduler.nowMs()))
        .orElseGet(() -> replica.endedJobs().isDone(uid));
  }
}
