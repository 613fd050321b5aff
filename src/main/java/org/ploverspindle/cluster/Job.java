package org.ploverspindle.cluster;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;

/** A job as the leader sees it during its term. */
public final class Job {
  private static final long FIRST_RETRY_DELAY_MS = 1_000;
  private static final long LONGEST_RETRY_DELAY_MS = 60_000;

  /** A task that runs for this much longer than others ran before they failed does not fail. */
  private static final long PROVEN_RUN_MARGIN_MS = 2_000;

  private final JobSpec spec;
  private final Resources perTask;
  private final long acceptedWallMs;
  private final int shardSize;
  private final int team;
  private final BitSet types;
  private final int zone;
  private final BitSet completedTasks = new BitSet();
  private final BitSet pendingTasks = new BitSet();
  private final Map<Integer, Placement> activePlacements = new HashMap<>();
  private final int[] placementsInZone;
  private final Map<Integer, Long> notBeforeMs = new HashMap<>();
  private final Set<String> failedOn = new HashSet<>();
  private long retryNotBeforeMs = Long.MIN_VALUE / 2;
  private long longestFailedMs;
  private int retries;
  private int failures;
  private int completions;
  private boolean cancelled;
  private boolean finished;
  private boolean quarantined;
  private boolean blockedOnDependencies;
  private long eligibleSinceWallMs;
  private Priority priority;
  private OptionalLong inheritedDeadlineWallMs = OptionalLong.empty();
  private OptionalLong latestDeadlineWallMs = OptionalLong.empty();

  /**
   * @param types allowed machine types by index; those that a task fits
   * @param zone the only allowed zone's index, or -1
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
    this.acceptedWallMs = acceptedWallMs;
    this.shardSize = shardSize;
    this.team = team;
    this.types = types;
    this.zone = zone;
    this.placementsInZone = new int[zoneCount];
    this.eligibleSinceWallMs = acceptedWallMs;
    this.priority = spec.priority();
    pendingTasks.set(0, spec.tasks());
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

  public int team() {
    return team;
  }

  public int shardSize() {
    return shardSize;
  }

  public int shardOf(int task) {
    return task / shardSize;
  }

  public int shardCount() {
    return (spec.tasks() + shardSize - 1) / shardSize;
  }

  public long acceptedWallMs() {
    return acceptedWallMs;
  }

  /**
   * When it could first run: its acceptance, or the end of the last job that it awaited. Waits,
   * patience and its turn under a guarantee count from here; due times count from the acceptance.
   */
  public long eligibleSinceWallMs() {
    return eligibleSinceWallMs;
  }

  /** How urgent it is: as its user says, or as any job that needs it. */
  public Priority priority() {
    return priority;
  }

  /**
   * When it is due, in seconds from {@link #eligibleSinceWallMs}: by its own due time, or earlier
   * if the jobs that need it are due. Negative if that was over before it could run.
   */
  public OptionalDouble deadlineS() {
    return inheritedDeadlineWallMs.isPresent()
        ? OptionalDouble.of((inheritedDeadlineWallMs.getAsLong() - eligibleSinceWallMs) / 1000.0)
        : ownDeadlineS(1);
  }

  /** The same for the last multiple of due times that counts for the jobs that need it. */
  public OptionalDouble latestDeadlineS() {
    return latestDeadlineWallMs.isPresent()
        ? OptionalDouble.of((latestDeadlineWallMs.getAsLong() - eligibleSinceWallMs) / 1000.0)
        : OptionalDouble.empty();
  }

  /** A multiple of its own due time, counted from its acceptance, in seconds from readiness. */
  public OptionalDouble ownDeadlineS(double times) {
    return spec.deadlineS().isPresent()
        ? OptionalDouble.of(
            spec.deadlineS().getAsDouble() * times
                - (eligibleSinceWallMs - acceptedWallMs) / 1000.0)
        : OptionalDouble.empty();
  }

  /** All that it awaited is done. */
  public void markReady(long wallMs) {
    blockedOnDependencies = false;
    eligibleSinceWallMs = wallMs;
  }

  /**
   * Records say that tasks of it are out, though what it awaits is not done: they count until they
   * are gone, and none is started.
   */
  public void blockOnDependencies() {
    blockedOnDependencies = true;
  }

  public boolean blockedOnDependencies() {
    return blockedOnDependencies;
  }

  /**
   * What the jobs that need it make of it; its own values where no other presses more.
   *
   * @param latestFinish by when it must be done, so that all that need it can be done when due
   * @param lastChance the same for the last multiples of their due times that count
   */
  public void inherit(
      Priority highest, OptionalLong finishByWallMs, OptionalLong latestFinishWallMs) {
    priority = highest.compareTo(spec.priority()) < 0 ? highest : spec.priority();
    inheritedDeadlineWallMs = earlierThanOwn(finishByWallMs);
    latestDeadlineWallMs =
        inheritedDeadlineWallMs.isPresent() ? latestFinishWallMs : OptionalLong.empty();
  }

  private OptionalLong earlierThanOwn(OptionalLong wallMs) {
    boolean earlier =
        wallMs.isPresent()
            && (spec.deadlineS().isEmpty()
                || wallMs.getAsLong()
                    < acceptedWallMs + Math.round(spec.deadlineS().getAsDouble() * 1000));
    return earlier ? wallMs : OptionalLong.empty();
  }

  public BitSet types() {
    return types;
  }

  public int zone() {
    return zone;
  }

  public BitSet completedTasks() {
    return completedTasks;
  }

  public BitSet pendingTasks() {
    return pendingTasks;
  }

  public Collection<Placement> activePlacements() {
    return activePlacements.values();
  }

  public Placement activePlacement(int task) {
    return activePlacements.get(task);
  }

  public int placementsInZone(int zone) {
    return placementsInZone[zone];
  }

  /** May one more task be in the zone, given where the others are? */
  public boolean zoneAllowed(int zone) {
    if (this.zone >= 0 && this.zone != zone) {
      return false;
    }
    if (spec.oneZone()) {
      for (int other = 0; other < placementsInZone.length; other++) {
        if (other != zone && placementsInZone[other] > 0) {
          return false;
        }
      }
    }
    return !spec.spreadOverZones() || placementsInZone[zone] < (spec.tasks() + 1) / 2;
  }

  /** How many more tasks the zone may take at once. */
  public int zoneCapacity(int zone) {
    if (!zoneAllowed(zone)) {
      return 0;
    }
    return spec.spreadOverZones()
        ? (spec.tasks() + 1) / 2 - placementsInZone[zone]
        : Integer.MAX_VALUE;
  }

  public void addPlacement(Placement placement) {
    pendingTasks.clear(placement.task());
    activePlacements.put(placement.task(), placement);
    placementsInZone[placement.machine().zone()]++;
  }

  /**
   * The task is proven gone from its place; it waits again unless it is done or nobody wants it.
   */
  public void removePlacement(Placement placement) {
    if (activePlacements.remove(placement.task(), placement)) {
      placementsInZone[placement.machine().zone()]--;
      if (!completedTasks.get(placement.task()) && !cancelled) {
        pendingTasks.set(placement.task());
      }
    }
  }

  public void markCompleted(int task) {
    if (!completedTasks.get(task)) {
      completedTasks.set(task);
      completions++;
    }
    pendingTasks.clear(task);
    notBeforeMs.remove(task);
  }

  public boolean allTasksCompleted() {
    return completedTasks.cardinality() == spec.tasks();
  }

  public int completions() {
    return completions;
  }

  public void cancel() {
    cancelled = true;
    pendingTasks.clear();
  }

  public boolean cancelled() {
    return cancelled;
  }

  /** The job's end is durable. */
  public void finish() {
    finished = true;
    pendingTasks.clear();
  }

  public boolean finished() {
    return finished;
  }

  /** Part of its progress can't be read: starting any task could run one twice. */
  public void quarantine() {
    quarantined = true;
    pendingTasks.clear();
  }

  public boolean quarantined() {
    return quarantined;
  }

  public boolean isTerminal() {
    return cancelled || finished;
  }

  /** Cancelled, and proven to be nowhere. */
  public boolean isFullyStopped() {
    return cancelled && !finished && activePlacements.isEmpty();
  }

  /** Puts off the task after it ended without completing there. */
  public void backOff(int task, long untilMs) {
    notBeforeMs.put(task, untilMs);
  }

  public boolean isBackedOff(int task, long nowMs) {
    Long until = notBeforeMs.get(task);
    if (until == null) {
      return false;
    }
    if (until <= nowMs) {
      notBeforeMs.remove(task);
      return false;
    }
    return true;
  }

  /**
   * A task failed there after running for so long. A job that was submitted with a mistake fails
   * everywhere until its user cancels it: as long as nothing of it has shown that it can run, it
   * waits, longer each time, and then one task alone is the try.
   */
  public void failedOn(String host, long ranForMs, long nowMs) {
    failures++;
    failedOn.add(host);
    longestFailedMs = Math.max(longestFailedMs, ranForMs);
    // What began together and fails together is one try.
    if (!isKnownToRun(nowMs) && !isRetryDelayed(nowMs)) {
      retryNotBeforeMs =
          nowMs + Math.min(LONGEST_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS << Math.min(10, retries));
      retries++;
    }
  }

  public boolean hasFailedOn(String host) {
    return failedOn.contains(host);
  }

  /**
   * Has it never failed, or shown that it can run: by a task that completed, or by one that runs on
   * for well longer than those that failed had?
   */
  public boolean isKnownToRun(long nowMs) {
    if (failures == 0 || completions > 0) {
      return true;
    }
    long enoughMs = longestFailedMs * 3 / 2 + PROVEN_RUN_MARGIN_MS;
    for (Placement placement : activePlacements.values()) {
      if (placement.runningSinceMs() >= 0
          && nowMs - placement.runningSinceMs() >= enoughMs
          && !failedOn.contains(placement.machine().host())) {
        return true;
      }
    }
    return false;
  }

  /** Failed on several machines, and runs nowhere: the job is at fault, not the machines. */
  public boolean isFailingEverywhere(long nowMs) {
    return failedOn.size() >= 2 && !isKnownToRun(nowMs);
  }

  public int failures() {
    return failures;
  }

  private boolean isRetryDelayed(long nowMs) {
    return retryNotBeforeMs > nowMs;
  }

  /** How many of its waiting tasks may be put on machines now. */
  public int schedulableTasks(long nowMs) {
    if (pendingTasks.isEmpty() || blockedOnDependencies) {
      return 0;
    }
    if (isKnownToRun(nowMs) || spec.kind() == JobKind.GANG && !isRetryDelayed(nowMs)) {
      return pendingTasks.cardinality();
    }
    return isRetryDelayed(nowMs) || !activePlacements.isEmpty() ? 0 : 1;
  }
}
