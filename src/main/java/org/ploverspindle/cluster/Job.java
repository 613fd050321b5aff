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
 * <p>Its parts: {@link JobTasks}, {@link JobDeadline}, {@link ZoneConstraints} and {@link
 * JobFailures}. Times named {@code wallMs} are times of day in milliseconds, all others are
 * milliseconds of the leader's steady clock.
 */
public final class Job {
  /** In place of a zone's index: the job may run in any zone. */
  static final int ANY_ZONE = -1;

  private final JobSpec spec;
  private final Resources perTask;
  private final int shardSize;
  private final int team;
  private final BitSet types;
  private final JobTasks tasks;
  private final JobDeadline deadline;
  private final ZoneConstraints zones;
  private final JobFailures failures = new JobFailures();
  private boolean cancelled;
  private boolean finished;
  private boolean quarantined;
  private boolean blockedOnDependencies;

  /**
   * @param shardSize tasks in each shard of the job's progress records
   * @param team index of the team in the settings
   * @param types indexes of the machine types that the job allows and that a task fits on
   * @param requiredZone index of the only allowed zone, or -1
   */
  public Job(
      JobSpec spec,
      long acceptedWallMs,
      int shardSize,
      int team,
      BitSet types,
      int zone,
      int zoneCount) {
    this.spec = spec;
    this.perTask = spec.perTask();
    this.shardSize = shardSize;
    this.team = team;
    this.types = types;
    this.tasks = new JobTasks(spec.tasks());
    this.deadline = new JobDeadline(spec, acceptedWallMs);
    this.zones = new ZoneConstraints(spec, zone, zoneCount);
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
  public BitSet types() {
    return types;
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
   * When it could first run: its acceptance, or the completion of its last dependency. Waiting
   * times, starvation protection and its turn under a guarantee count from here; its own deadline
   * counts from the acceptance.
   */
  public long eligibleSinceWallMs() {
    return deadline.eligibleSinceWallMs();
  }

  /** All dependencies are durably completed. */
  public void markReady(long wallMs) {
    blockedOnDependencies = false;
    deadline.setEligibleSince(wallMs);
  }

  /**
   * Keeps the job from starting tasks, for one whose dependencies are not completed though records
   * show placements of it. These count until they are proven gone.
   */
  public void blockOnDependencies() {
    blockedOnDependencies = true;
  }

  public boolean blockedOnDependencies() {
    return blockedOnDependencies;
  }

  /** The higher of its own priority and the highest that it inherits from its dependents. */
  public Priority priority() {
    return deadline.priority();
  }

  /**
   * The earlier of its own deadline and the one that it inherits from its dependents, in seconds
   * from {@link #eligibleSinceWallMs}. Negative if it had passed before the job could run.
   */
  public OptionalDouble deadlineS() {
    return deadline.deadlineS();
  }

  /**
   * As {@link #deadlineS}, for the last multiples of the dependents' deadlines that still count;
   * empty if it inherits no deadline.
   */
  public OptionalDouble latestDeadlineS() {
    return deadline.latestDeadlineS();
  }

  /**
   * A multiple of its own deadline, which counts from the acceptance, in seconds from {@link
   * #eligibleSinceWallMs}.
   */
  public OptionalDouble ownDeadlineS(double times) {
    return deadline.ownDeadlineS(times);
  }

  /**
   * Sets what it inherits from the jobs that depend on it. Its own values stay where they are
   * tighter.
   *
   * @param highest the highest priority of them
   * @param finishByWallMs by when it must finish, so that all of them can meet their deadlines
   * @param latestFinishByWallMs the same for the last multiples of their deadlines that count
   */
  public void inherit(
      Priority highest, OptionalLong finishByWallMs, OptionalLong latestFinishByWallMs) {
    deadline.inherit(highest, finishByWallMs, latestFinishByWallMs);
  }

  // Zones.

  /** The index of the only allowed zone; negative if all are allowed. */
  public int requiredZone() {
    return zones.requiredZone();
  }

  /** Whether one more task may be placed in the zone, given where the others are. */
  public boolean allowsZone(int zoneIndex) {
    return zones.allows(zoneIndex);
  }

  // Tasks.

  /** The completed tasks: a live view. */
  public TaskSet completedTasks() {
    return tasks.completed();
  }

  /** The tasks that are to be placed: a live view. */
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

  /** Counts the placement. The leader's own go through {@link MachineRegistry#addPlacement}. */
  public void addPlacement(Placement placement) {
    tasks.addPlacement(placement);
    zones.add(placement);
  }

  /**
   * The placement is proven gone, which {@link MachineRegistry#removePlacement} alone concludes.
   * The task is pending again unless it is completed or the job is cancelled.
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

  /** The task has completed; this can be reported more than once. */
  public void markCompleted(int task) {
    tasks.markCompleted(task);
  }

  public boolean allTasksCompleted() {
    return tasks.completedCount() == spec.tasks();
  }

  /** Puts the task off after it ended without completing. */
  public void backOff(int task, long untilMs) {
    tasks.backOff(task, untilMs);
  }

  /** Whether the task is put off beyond now. */
  public boolean isBackedOff(int task, long nowMs) {
    return tasks.isBackedOff(task, nowMs);
  }

  /** How many of the pending tasks may be placed now. */
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
   * A task failed on the machine. A job that was submitted with a mistake fails everywhere until
   * its user cancels it: as long as nothing has shown that it can run, it is retried after longer
   * and longer delays, and with one task at a time.
   *
   * @param ranForMs for how long the task had run
   */
  public void recordFailure(String host, long ranForMs, long nowMs) {
    failures.record(host, ranForMs, tasks, nowMs);
  }

  public boolean hasFailedOn(String host) {
    return failures.hasFailedOn(host);
  }

  /** How many of its tasks have failed in this term. */
  public int failures() {
    return failures.count();
  }

  /**
   * Whether it has never failed or has shown that it can run: by a completed task, or by one that
   * has run for well longer than those that failed.
   */
  public boolean isKnownToRun(long nowMs) {
    return failures.isKnownToRun(tasks, nowMs);
  }

  /** Whether it failed on several machines and is not known to run: the job itself is at fault. */
  public boolean isFailingEverywhere(long nowMs) {
    return failures.isFailingEverywhere(tasks, nowMs);
  }

  // Its end.

  /** The cancellation is durable: no task is started any more. */
  public void cancel() {
    cancelled = true;
    tasks.clearPending();
  }

  public boolean cancelled() {
    return cancelled;
  }

  /** The record of the job's completion is durable. */
  public void markFinished() {
    finished = true;
    tasks.clearPending();
  }

  public boolean finished() {
    return finished;
  }

  /** Part of its progress records can't be read: to start any task could run it twice. */
  public void quarantine() {
    quarantined = true;
    tasks.clearPending();
  }

  public boolean quarantined() {
    return quarantined;
  }

  /** Whether it is cancelled or finished. */
  public boolean isTerminal() {
    return cancelled || finished;
  }

  /** Whether it is cancelled and all its placements are proven gone. */
  public boolean isFullyStopped() {
    return cancelled && !finished && tasks.activePlacements().isEmpty();
  }
}
