package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.Priority;

/** Places pending tasks on machines where they fit, in the order of {@link PendingJobOrder}. */
public final class Placer {
  /** Is informed of every placement. */
  public interface Listener {
    /** The task was placed; its intent must be recorded before a launch command is sent. */
    void placed(Placement placement);
  }

  /**
   * A job with more than this many seconds of slack does not use machines that are candidates for
   * scale-in.
   */
  private static final double MIN_SLACK_TO_WAIT_S = 45;

  private final ClusterView cluster;
  private final ServiceLevelObjectives objectives;
  private final long heartbeatTimeoutMs;
  private final PendingJobOrder order;
  private final TaskPlacer taskPlacer;
  private final StarvationProtection starvationProtection;
  private final Preemption preemption;

  /**
   * @param heartbeatTimeoutMs a machine whose last heartbeat is older than this gets no tasks
   * @param nextAttempt returns the number of each new attempt, and never returns a number twice
   */
  public Placer(
      ClusterView cluster,
      RuntimeEstimates estimates,
      ServiceLevelObjectives objectives,
      long heartbeatTimeoutMs,
      LongSupplier nextAttempt,
      Listener listener) {
    this.cluster = cluster;
    this.objectives = objectives;
    this.heartbeatTimeoutMs = heartbeatTimeoutMs;
    this.order = new PendingJobOrder(cluster, estimates, objectives);
    MachineSelector selector = new MachineSelector(cluster.catalogue(), estimates, objectives);
    this.taskPlacer =
        new TaskPlacer(cluster.fleet(), cluster.teams(), selector, nextAttempt, listener);
    this.starvationProtection =
        new StarvationProtection(cluster.fleet(), estimates, taskPlacer, heartbeatTimeoutMs);
    this.preemption =
        new Preemption(cluster.fleet(), cluster.teams(), estimates, objectives, heartbeatTimeoutMs);
  }

  /**
   * Returns the jobs with tasks that could start now, in the order in which they are served.
   *
   * @param nowMs the time on the steady clock, in milliseconds
   * @param wallMs the wall-clock time, in milliseconds
   */
  public List<Job> pendingJobs(long nowMs, long wallMs) {
    return order.order(nowMs, wallMs);
  }

  /** Places the tasks that can be placed now, and informs the listener of each placement. */
  public void run(long nowMs, long wallMs) {
    // Nearly all machines of a busy fleet are full, so only those with free cores are searched for
    // each job.
    List<Machine> machinesWithFreeCores = new ArrayList<>();
    for (Machine machine : cluster.fleet().all()) {
      if (machine.free().cores() > 0 && machine.isSchedulable(nowMs, heartbeatTimeoutMs)) {
        machinesWithFreeCores.add(machine);
      }
    }
    if (machinesWithFreeCores.isEmpty()) {
      return;
    }
    List<Job> pending = pendingJobs(nowMs, wallMs);
    starvationProtection.run(pending, machinesWithFreeCores, nowMs, wallMs);
    List<Machine> machinesToKeep =
        machinesWithFreeCores.stream().filter(machine -> !machine.isScaleInCandidate()).toList();
    for (Job job : pending) {
      List<Machine> machines = mayWait(job, wallMs) ? machinesToKeep : machinesWithFreeCores;
      taskPlacer.place(job, machines, nowMs, Integer.MAX_VALUE);
    }
  }

  /** True when the job has enough slack, and no priority or objective asks for a start at once. */
  private boolean mayWait(Job job, long wallMs) {
    return job.priority().compareTo(Priority.HIGH) > 0
        && !objectives.requiresPromptStart(job)
        && job.deadlineS().isPresent()
        && order.slackS(job, wallMs) > MIN_SLACK_TO_WAIT_S;
  }

  /**
   * Returns a predicate that is true for a machine on which a pending task could be placed once the
   * machine is schedulable. The jobs are visited once by this call, and not again for each machine
   * that is tested.
   */
  public Predicate<Machine> usefulMachines(long nowMs) {
    List<Job> startable = new ArrayList<>();
    for (Job job : cluster.jobs().all()) {
      if (!job.isTerminal()
          && !job.quarantined()
          && job.schedulableTasks(nowMs) > 0
          && cluster.teams().tasksWithinLimit(job.team(), job.perTask()) > 0) {
        startable.add(job);
      }
    }
    return machine -> startable.stream().anyMatch(job -> MachineSelector.accepts(machine, job));
  }

  /**
   * Stops tasks to make room for pending jobs that have a high priority or are within their team's
   * guarantee; returns how many tasks are stopped.
   */
  public int preempt(long nowMs, long wallMs) {
    return preemption.run(pendingJobs(nowMs, wallMs), nowMs);
  }

  /**
   * True when the job may run on the machine's type, kind and zone, given the zones of its other
   * tasks.
   */
  public static boolean allows(Job job, Machine machine) {
    return allows(job, machine.type(), machine.zone(), machine.isSpot());
  }

  /** True when the job may run on machines of the group, given the zones of its other tasks. */
  static boolean allows(Job job, MachineGroup group) {
    return allows(job, group.type(), group.zone(), group.spot());
  }

  private static boolean allows(Job job, int type, int zone, boolean spot) {
    return job.compatibleTypes().get(type) && (job.spec().spot() || !spot) && job.allowsZone(zone);
  }
}
