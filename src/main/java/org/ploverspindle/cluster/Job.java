package org.ploverspindle.cluster;

import java.util.BitSet;
import java.util.Collection;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;

/**
 * A job as the leader sees it during its term.
 *
 * <p>The state of a job is divided among {@link JobTasks}, {@link JobDeadline}, {@link
 * ZoneConstraints} and {@link JobFailures}. Times whose name ends in {@code wallMs} are wall-clock
 * times in milliseconds; all other times are in milliseconds of the leader's steady clock.
 */
public final class Job {
  /** Used instead of the index of a required zone when the job may run in any zone. */
  static final int ANY_ZONE = -1;

  private final JobSpec spec;
  private final Resources perTask;
  private final int shardSize;
  private final int team;
  private final BitSet compatibleTypes;
  private final JobTasks tasks;
  private final JobDeadline deadline;
  private final ZoneConstraints zones;
  private final JobFailures failures = new JobFailures();
  private boolean cancelled;
  private boolean finished;
  private boolean quarantined;
  private boolean blockedOnDependencies;

  /**
   * @param shardSize number of tasks in each shard of the job's progress records
   * @param team index of the team in the settings
   * @param compatibleTypes indexes of the machine types that the job allows and that a task fits on
   * @param requiredZone index of the only allowed zone, or {@link #ANY_ZONE} (-1)
   */
  public Job(
      JobSpec spec,
      long acceptedWallMs,
      int shardSize,
      int team,
      BitSet compatibleTypes,
      int requiredZone,
      int zoneCount) {
    this.spec = spec;
    this.perTask = spec.perTask();
    this.shardSize = shardSize;
    this.team = team;
    this.compatibleTypes = compatibleTypes;
    this.tasks = new JobTasks(spec.tasks());
    this.deadline = new JobDeadline(spec, acceptedWallMs);
    this.zones = new ZoneConstraints(spec, requiredZone, zoneCount);
  }

  public JobSpec spec() {
    return spec;
  }

  public String uid() {
    return spec.uid();
  }

  public Resources perTask() {
    return perTask;
  }

  /** The index of the team in the settings. */
  public int team() {
    return team;
  }

  /** The indexes of the machine types that the job allows and that a task fits on. */
  public BitSet compatibleTypes() {
    return compatibleTypes;
  }

  // Shards of the progress records.

  public int shardSize() {
    return shardSize;
  }

  public int shardOf(int task) {
    return task / shardSize;
  }

  public int shardCount() {
    return (spec.tasks() + shardSize - 1) / shardSize;
  }

  // Dependencies, priority and deadline.

  public long acceptedWallMs() {
    return deadline.acceptedWallMs();
  }

  /**
   * When the job could first run: at its acceptance or, if it has dependencies, at the completion
   * of the last one. Waiting times, starvation protection and the job's place in the order within a
   * guarantee count from here. The job's own deadline counts from the acceptance.
   */
  public long eligibleSinceWallMs() {
    return deadline.eligibleSinceWallMs();
  }

  /**
   * Records that all dependencies are durably completed.
   *
   * @param wallMs when the job became eligible to run
   */
  public void markEligible(long wallMs) {
    blockedOnDependencies = false;
    deadline.setEligibleSince(wallMs);
  }

  /**
   * Prevents the job from starting tasks. This is for a job whose dependencies are not completed
   * although records show placements of its tasks. These placements count until they are proven
   * gone.
   */
  public void blockOnDependencies() {
    blockedOnDependencies = true;
  }

  public boolean blockedOnDependencies() {
    return blockedOnDependencies;
  }

  /** The higher of the job's own priority and the one that it inherits from its dependents. */
  public Priority priority() {
    return deadline.priority();
  }

  /**
   * The earlier of the job's own deadline and the one that it inherits from its dependents, in
   * seconds from {@link #eligibleSinceWallMs}. Negative if the deadline had passed before the job
   * became eligible; empty if there is no deadline.
   */
  public OptionalDouble deadlineS() {
    return deadline.deadlineS();
  }

  /**
   * The deadline that the job inherits if each dependent has to finish only by the largest multiple
   * of its deadline that an objective names, in seconds from {@link #eligibleSinceWallMs}. Empty if
   * the job inherits no deadline.
   */
  public OptionalDouble latestDeadlineS() {
    return deadline.latestDeadlineS();
  }

  /**
   * The given multiple of the job's own deadline, in seconds from {@link #eligibleSinceWallMs}. The
   * deadline itself counts from the acceptance. Empty if the job has no deadline of its own.
   */
  public OptionalDouble ownDeadlineS(double multiple) {
    return deadline.ownDeadlineS(multiple);
  }

  /**
   * Sets the priority and the deadline that the job inherits from its dependents. The job's own
   * priority stays in force if it is higher, and its own deadline if it is earlier.
   *
   * @param highestPriority the highest priority among the dependents
   * @param finishByWallMs when the job must finish so that all dependents can meet their deadlines
   * @param latestFinishByWallMs when the job must finish so that all dependents can finish by the
   *     largest multiples of their deadlines that an objective names
   */
  public void inherit(
      Priority highestPriority, OptionalLong finishByWallMs, OptionalLong latestFinishByWallMs) {
    deadline.inherit(highestPriority, finishByWallMs, latestFinishByWallMs);
  }

  // Zones.

  /** The index of the only allowed zone; negative if every zone is allowed. */
  public int requiredZone() {
    return zones.requiredZone();
  }

  /** Whether one more task may be placed in the zone, given the zones of the other placements. */
  public boolean allowsZone(int zoneIndex) {
    return zones.allows(zoneIndex);
  }

  // Tasks.

  /** The completed tasks: a live view. */
  public TaskSet completedTasks() {
    return tasks.completed();
  }

  /** The tasks that have to be placed: a live view. */
  public TaskSet pendingTasks() {
    return tasks.pending();
  }

  /** The placements that are not proven gone: a live, unmodifiable view. */
  public Collection<Placement> activePlacements() {
    return tasks.activePlacements();
  }

  /** The active placement of the task, or null. */
  public Placement activePlacement(int task) {
    return tasks.activePlacement(task);
  }

  /**
   * Adds a placement, which makes its task no longer pending. The leader adds its placements by
   * {@link MachineRegistry#addPlacement}, which calls this method.
   */
  public void addPlacement(Placement placement) {
    tasks.addPlacement(placement);
    zones.add(placement);
  }

  /**
   * Removes a placement that is proven gone. The leader removes its placements only by {@link
   * MachineRegistry#removePlacement}, which calls this method. The task is pending again unless it
   * is completed or the job is cancelled.
   */
  public void removePlacement(Placement placement) {
    if (!tasks.removePlacement(placement)) {
      return;
    }
    zones.remove(placement);
    if (!cancelled) {
      tasks.setPendingUnlessCompleted(placement.task());
    }
  }

  /** Records that the task has completed. Has no effect if that is recorded already. */
  public void markCompleted(int task) {
    tasks.markCompleted(task);
  }

  public boolean allTasksCompleted() {
    return tasks.completedCount() == spec.tasks();
  }

  /** Keeps the task from being placed before this time, after it ended without completing. */
  public void backOff(int task, long untilMs) {
    tasks.backOff(task, untilMs);
  }

  /** Whether the task's backoff has not ended yet. */
  public boolean isBackedOff(int task, long nowMs) {
    return tasks.isBackedOff(task, nowMs);
  }

  /**
   * How many of the pending tasks may be placed now. Backoffs of single tasks are not considered.
   */
  public int schedulableTasks(long nowMs) {
    if (tasks.pending().isEmpty() || blockedOnDependencies) {
      return 0;
    }
    boolean isRetryDelayed = failures.isRetryDelayed(nowMs);
    if (isKnownToRun(nowMs) || spec.kind() == JobKind.GANG && !isRetryDelayed) {
      return tasks.pending().size();
    }
    boolean mayTryOneTask = !isRetryDelayed && tasks.activePlacements().isEmpty();
    return mayTryOneTask ? 1 : 0;
  }

  // Failures.

  /**
   * Records that a task of the job failed on the machine. A faulty job fails everywhere until its
   * user cancels it. As long as nothing has shown that the job can run, it is therefore retried
   * after growing delays and with one task at a time.
   *
   * @param ranForMs how long the task had run
   */
  public void recordFailure(String host, long ranForMs, long nowMs) {
    failures.record(host, ranForMs, tasks, nowMs);
  }

  public boolean hasFailedOn(String host) {
    return failures.hasFailedOn(host);
  }

  /** How many failures of the job's tasks were recorded in this term. */
  public int failures() {
    return failures.count();
  }

  /**
   * Whether the job has never failed in this term, or has shown that it can run: by a completed
   * task, or by a task that has run for much longer than the failed ones did and is on a machine on
   * which the job has not failed.
   */
  public boolean isKnownToRun(long nowMs) {
    return failures.isKnownToRun(tasks, nowMs);
  }

  /**
   * Whether the job has failed on several machines and is not known to run, so is itself faulty.
   */
  public boolean isFailingEverywhere(long nowMs) {
    return failures.isFailingEverywhere(tasks, nowMs);
  }

  // Cancellation, completion and quarantine.

  /** Records that the job's cancellation is durable. No task is started any more. */
  public void markCancelled() {
    cancelled = true;
    tasks.clearPending();
  }

  public boolean cancelled() {
    return cancelled;
  }

  /** Records that the job's completion is durable. */
  public void markFinished() {
    finished = true;
    tasks.clearPending();
  }

  public boolean finished() {
    return finished;
  }

  /**
   * Records that part of the job's progress records can't be read. No task is started any more,
   * because a task that an unreadable record covers could then run twice.
   */
  public void quarantine() {
    quarantined = true;
    tasks.clearPending();
  }

  public boolean quarantined() {
    return quarantined;
  }

  /** Whether the job is cancelled or finished. */
  public boolean isTerminal() {
    return cancelled || finished;
  }

  /** Whether the job is cancelled, is not finished, and all its placements are proven gone. */
  public boolean isFullyStopped() {
    return cancelled && !finished && tasks.activePlacements().isEmpty();
  }
}
