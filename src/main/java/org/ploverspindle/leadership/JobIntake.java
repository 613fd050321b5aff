package org.ploverspindle.leadership;

import java.util.Optional;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.CancellableGroup;
import org.ploverspindle.pipelines.DependencyGraph;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.progress.ProgressWriter;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore.Entry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Adds jobs to the leader's job table and cancels jobs in it. A job is added when its acceptance is
 * recorded by any controller and all its dependencies are done. It is cancelled when its
 * cancellation is recorded by any controller or one of its dependencies is aborted.
 */
final class JobIntake {
  private static final Logger LOG = LoggerFactory.getLogger(JobIntake.class);

  private final Pipelines pipelines;
  private final AcceptedJobIndex acceptedJobs;
  private final JobTable jobs;
  private final ProgressWriter writer;
  private final JobArrivals arrivals;
  private final JobCancellation cancellation;
  private final Runnable onPendingTasks;
  private boolean closed;

  /**
   * @param onPendingTasks schedules the placement of pending tasks, and scale-out for them
   */
  JobIntake(
      Pipelines pipelines,
      AcceptedJobIndex acceptedJobs,
      JobTable jobs,
      ProgressWriter writer,
      JobArrivals arrivals,
      JobCancellation cancellation,
      Runnable onPendingTasks) {
    this.pipelines = pipelines;
    this.acceptedJobs = acceptedJobs;
    this.jobs = jobs;
    this.writer = writer;
    this.arrivals = arrivals;
    this.cancellation = cancellation;
    this.onPendingTasks = onPendingTasks;
  }

  /** Listens to changes of the records until the result is cancelled. */
  Cancellable start(Replica replica) {
    CancellableGroup listeners = new CancellableGroup();
    listeners.add(replica.addListener(this::recordChanged));
    listeners.add(acceptedJobs.addListener(this::accepted));
    listeners.add(pipelines.graph().addListener(new DependencyEvents()));
    return listeners;
  }

  /**
   * Ignores all changes from now on. Cancelling the listeners is not enough, as the replica may be
   * notifying them of a change when this is called.
   */
  void close() {
    closed = true;
  }

  private void recordChanged(String key, Optional<Entry> entry) {
    if (!closed && entry.isPresent() && key.startsWith(Keys.CANCELLATIONS)) {
      jobs.get(key.substring(Keys.CANCELLATIONS.length())).ifPresent(cancellation::cancel);
    }
  }

  private void accepted(AcceptedJobIndex.AcceptedJob accepted) {
    if (closed) {
      return;
    }
    LOG.debug("job accepted: job={}", accepted.uid());
    if (pipelines.graph().hasDependencies(accepted.uid())) {
      arrivals.dependenciesChanged();
      if (pipelines.graph().isReady(accepted.uid())) {
        dependenciesDone(accepted);
      }
      return;
    }
    jobs.add(accepted).ifPresent(arrivals::recordArrival);
    onPendingTasks.run();
  }

  /**
   * Adds a job whose dependencies are all done to the job table, or unblocks it if it is already in
   * the table.
   */
  private void dependenciesDone(AcceptedJobIndex.AcceptedJob accepted) {
    Optional<Job> known = jobs.get(accepted.uid());
    if (known.isPresent()) {
      unblock(known.get());
    } else {
      jobs.add(accepted).ifPresent(this::addedAfterDependencies);
    }
    onPendingTasks.run();
  }

  private void addedAfterDependencies(Job job) {
    LOG.debug("dependencies done: job={}", job.uid());
    arrivals.becameReady(job);
  }

  /**
   * Unblocks a job that could not start tasks because some had been recorded before its
   * dependencies were done.
   */
  private void unblock(Job job) {
    if (!job.blockedOnDependencies()) {
      return;
    }
    arrivals.markEligible(job);
    if (!job.isTerminal()) {
      writer.taskChanged(job, 0);
    }
  }

  private final class DependencyEvents implements DependencyGraph.Listener {
    @Override
    public void ready(String uid) {
      if (!closed) {
        acceptedJobs.get(uid).ifPresent(JobIntake.this::dependenciesDone);
      }
    }

    /**
     * Cancels the job if it is in the table: either it was itself cancelled, or its records are
     * damaged, as a job with unfinished dependencies is not added otherwise. None of its tasks may
     * start.
     */
    @Override
    public void aborted(String uid) {
      if (!closed) {
        arrivals.dependenciesChanged();
        jobs.get(uid).ifPresent(cancellation::cancel);
      }
    }
  }
}
