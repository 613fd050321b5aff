package org.ploverspindle.leadership;

import java.util.List;
import java.util.Optional;
import org.ploverspindle.cloud.Autoscaler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.CancellableGroup;
import org.ploverspindle.eventloop.Scheduler;
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
 * Takes in jobs as any node accepts or cancels them, and as their dependencies are done or will
 * never be.
 */
final class JobIntake {
  private static final Logger LOG = LoggerFactory.getLogger(JobIntake.class);

  private final Scheduler scheduler;
  private final Pipelines pipelines;
  private final AcceptedJobIndex acceptedJobs;
  private final JobTable jobs;
  private final MachineRegistry machines;
  private final ProgressWriter writer;
  private final JobArrivals arrivals;
  private final TaskProgress progress;
  private final DirectCommandSender commands;
  private final SchedulingRounds rounds;
  private final Autoscaler autoscaler;
  private boolean closed;

  JobIntake(
      Scheduler scheduler,
      Pipelines pipelines,
      AcceptedJobIndex acceptedJobs,
      JobTable jobs,
      MachineRegistry machines,
      ProgressWriter writer,
      JobArrivals arrivals,
      TaskProgress progress,
      DirectCommandSender commands,
      SchedulingRounds rounds,
      Autoscaler autoscaler) {
    this.scheduler = scheduler;
    this.pipelines = pipelines;
    this.acceptedJobs = acceptedJobs;
    this.jobs = jobs;
    this.machines = machines;
    this.writer = writer;
    this.arrivals = arrivals;
    this.progress = progress;
    this.commands = commands;
    this.rounds = rounds;
    this.autoscaler = autoscaler;
  }

  /** Listens to the records from now on, until cancelled. */
  Cancellable start(Replica replica) {
    CancellableGroup listening = new CancellableGroup();
    listening.add(replica.addListener(this::recordChanged));
    listening.add(acceptedJobs.addListener(this::accepted));
    listening.add(pipelines.graph().listen(new GraphEvents()));
    return listening;
  }

  /** From now on nothing is taken in, also if a change is being told to its listeners just now. */
  void close() {
    closed = true;
  }

  private void recordChanged(String key, Optional<Entry> entry) {
    if (!closed && entry.isPresent() && key.startsWith(Keys.CANCELLATIONS)) {
      jobs.get(key.substring(Keys.CANCELLATIONS.length())).ifPresent(this::cancel);
    }
  }

  private void accepted(AcceptedJobIndex.AcceptedJob spec) {
    if (closed) {
      return;
    }
    LOG.debug("job {} is here", spec.uid());
    if (pipelines.graph().awaitsOthers(spec.uid())) {
      arrivals.dependenciesChanged();
      if (pipelines.graph().isReady(spec.uid())) {
        ready(spec);
      }
      return;
    }
    jobs.add(spec).ifPresent(arrivals::recordArrival);
    scheduleWork();
  }

  /** All that the job awaited is done: it comes as a new one does. */
  private void ready(AcceptedJobIndex.AcceptedJob spec) {
    Optional<Job> known = jobs.get(spec.uid());
    if (known.isPresent()) {
      resume(known.get());
    } else {
      jobs.add(spec)
          .ifPresent(
              job -> {
                LOG.debug("what job {} awaited is done", job.uid());
                arrivals.becameReady(job);
              });
    }
    scheduleWork();
  }

  /** A job whose tasks were recorded before what it awaits was done: it may run on now. */
  private void resume(Job job) {
    if (!job.blockedOnDependencies()) {
      return;
    }
    arrivals.markReady(job);
    if (!job.isTerminal()) {
      writer.changed(job, 0);
    }
  }

  private void scheduleWork() {
    autoscaler.scanSoon();
    rounds.schedule();
  }

  private void cancel(Job job) {
    if (job.cancelled()) {
      return;
    }
    job.cancel();
    long nowMs = scheduler.nowMs();
    for (Placement placement : List.copyOf(job.activePlacements())) {
      if (placement.neverSent()) {
        machines.removePlacement(placement, nowMs);
      }
    }
    LOG.info("job {} is cancelled with {} tasks out", job.uid(), job.activePlacements().size());
    commands.stopCancelled(job);
    progress.cleanUp(job);
    rounds.schedule();
  }

  private final class GraphEvents implements DependencyGraph.Listener {
    @Override
    public void ready(String uid) {
      if (!closed) {
        acceptedJobs.get(uid).ifPresent(JobIntake.this::ready);
      }
    }

    /** Nothing of it has begun, unless records are damaged; others need no longer press for it. */
    @Override
    public void aborted(String uid) {
      if (!closed) {
        arrivals.dependenciesChanged();
        jobs.get(uid).ifPresent(JobIntake.this::cancel);
      }
    }
  }
}
