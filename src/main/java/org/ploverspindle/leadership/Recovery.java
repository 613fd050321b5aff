package org.ploverspindle.leadership;

import java.util.Optional;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.pipelines.DependencyGraph;
import org.ploverspindle.progress.ProgressWriter;
import org.ploverspindle.progress.RecordedProgress;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SnapshotRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Restores jobs and placements from the records of earlier leaders. A task that is recorded on a
 * machine is assumed to run there until a heartbeat or the expiry of the worker lease proves that
 * it does not.
 */
final class Recovery {
  private static final Logger LOG = LoggerFactory.getLogger(Recovery.class);

  private final Replica replica;
  private final DependencyGraph graph;
  private final JobTable jobs;
  private final MachineRegistry machines;
  private final ProgressWriter writer;
  private final JobArrivals arrivals;

  Recovery(
      Replica replica,
      DependencyGraph graph,
      JobTable jobs,
      MachineRegistry machines,
      ProgressWriter writer,
      JobArrivals arrivals) {
    this.replica = replica;
    this.graph = graph;
    this.jobs = jobs;
    this.machines = machines;
    this.writer = writer;
    this.arrivals = arrivals;
  }

  /**
   * Fills the job table, the registry of machines, and the writer's view of the records.
   *
   * @return whether a record of the progress log is unreadable, so that tasks may run that no
   *     readable record mentions
   */
  boolean restore(long nowMs) {
    RecordedProgress recorded = new RecordedProgress(replica, writer);
    for (Job job : jobs.loadAll(uid -> graph.isReady(uid) || recorded.hasRecords(uid))) {
      if (!graph.isReady(job.uid())) {
        LOG.error(
            "job blocked, its tasks are recorded before its dependencies are done: job={}",
            job.uid());
        job.blockOnDependencies();
      } else if (graph.hasDependencies(job.uid())) {
        arrivals.markEligible(job);
      }
      restoreJob(job, recorded.statusesOf(job), nowMs);
    }
    removeSnapshotsOfFinishedJobs(recorded);
    return recorded.hasUnreadableLogRecord();
  }

  /** Removes the snapshots that an earlier leader had not removed when its term ended. */
  private void removeSnapshotsOfFinishedJobs(RecordedProgress recorded) {
    for (String uid : recorded.jobsWithSnapshots()) {
      Optional<Job> finished = jobs.completed(uid);
      finished.ifPresent(recorded::loadSnapshotsOfFinished);
      finished.ifPresent(writer::jobTerminated);
    }
  }

  private void restoreJob(Job job, RecordedProgress.RecordedStatuses recorded, long nowMs) {
    recorded.completed().stream().forEach(job::markCompleted);
    for (SnapshotRecord.RecordedPlacement placement : recorded.placements().values()) {
      restorePlacement(job, placement, nowMs);
    }
    if (job.allTasksCompleted() && !job.cancelled()) {
      writer.taskChanged(job, 0);
    }
  }

  private void restorePlacement(Job job, SnapshotRecord.RecordedPlacement recorded, long nowMs) {
    SnapshotRecord.MachineInfo machineInfo = recorded.machine();
    Optional<Machine> machine =
        machines.adopt(
            machineInfo.id(), machineInfo.type(), machineInfo.zone(), machineInfo.spot(), nowMs);
    if (machine.isEmpty() || recorded.task() >= job.spec().tasks()) {
      // The placement can't be tracked. If the job went on, the task could run on two machines.
      LOG.error(
          "job quarantined, its recorded placement is invalid: job={} task={}",
          job.uid(),
          recorded.task());
      job.quarantine();
      return;
    }
    machines.addPlacement(
        new Placement(
            job,
            recorded.task(),
            recorded.attempt(),
            machine.get(),
            recorded.workerEpoch(),
            Placement.Phase.RECOVERED));
    // A late heartbeat may have shown that another attempt of the task completed.
    TaskProgress.stopIfDone(job, recorded.task());
  }
}
