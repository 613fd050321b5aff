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
 * Adds jobs to the leader's job table and cancels them, as any controller records their acceptance
 * or cancellation, and as their dependencies are done or can never be.
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
   * @param onPendingTasks has pending tasks placed, and machines for them added, soon
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

  /** Listens to the records from now on, until cancelled. */
  Cancellable start(Replica replica) {
    CancellableGroup listeners = new CancellableGroup();
    listeners.add(replica.addListener(this::recordChanged));
    listeners.add(acceptedJobs.addListener(this::accepted));
    listeners.add(pipelines.graph().addListener(new DependencyEvents()));
    return listeners;
  }

  /**
   * From now on changes are ignored. Cancelling the listeners is not enough: the replica may be
   * notifying them of a change just now.
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

  /** All dependencies of the job are done: it enters the job table as a new job does. */
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

  /** A job whose tasks were recorded before its dependencies were done: it may run on now. */
  private void unblock(Job job) {
    if (!job.blockedOnDependencies()) {
      return;
    }
    arrivals.markReady(job);
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

    /** The job is in the table only if its records are damaged: none of its tasks may start. */
    @Override
    public void aborted(String uid) {
      if (!closed) {
        arrivals.dependenciesChanged();
        jobs.get(uid).ifPresent(cancellation::cancel);
      }
    }
  }
}
