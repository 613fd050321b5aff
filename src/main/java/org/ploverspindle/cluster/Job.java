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
  private static final long FIRST_HOLD_MS = 1_000;
  private static final long LONGEST_HOLD_MS = 60_000;

  /** A task that runs for this much longer than others ran before they failed does not fail. */
  private static final long RUNS_MS = 2_000;

  private final JobSpec spec;
  private final Resources perTask;
  private final long acceptedWallMs;
  private final int chunkSize;
  private final int team;
  private final BitSet types;
  private final int zone;
  private final BitSet done = new BitSet();
  private final BitSet waiting = new BitSet();
  private final Map<Integer, Placement> live = new HashMap<>();
  private final int[] liveInZone;
  private final Map<Integer, Long> notBeforeMs = new HashMap<>();
  private final Set<String> failedOn = new HashSet<>();
  private long heldUntilMs = Long.MIN_VALUE / 2;
  private long longestFailedMs;
  private int tries;
  private int failures;
  private int completions;
  private boolean cancelled;
  private boolean finished;
  private boolean blocked;
  private boolean awaiting;
  private long sinceWallMs;
  private Priority urgency;
  private OptionalLong latestFinishWallMs = OptionalLong.empty();
  private OptionalLong lastChanceWallMs = OptionalLong.empty();

  /**
   * @param types allowed machine types by index; those that a task fits
   * @param zone the only allowed zone's index, or -1
   */
  public Job(
      JobSpec spec,
      long acceptedWallMs,
      int chunkSize,
      int team,
      BitSet types,
      int zone,
      int zoneCount) {
    this.spec = spec;
    this.perTask = spec.perTask();
    this.acceptedWallMs = acceptedWallMs;
    this.chunkSize = chunkSize;
    this.team = team;
    this.types = types;
    this.zone = zone;
    this.liveInZone = new int[zoneCount];
    this.sinceWallMs = acceptedWallMs;
    this.urgency = spec.urgency();
    waiting.set(0, spec.tasks());
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

  public int chunkSize() {
    return chunkSize;
  }

  public int chunkOf(int task) {
    return task / chunkSize;
  }

  public int chunks() {
    return (spec.tasks() + chunkSize - 1) / chunkSize;
  }

  public long acceptedWallMs() {
    return acceptedWallMs;
  }

  /**
   * When it could first run: its acceptance, or the end of the last job that it awaited. Waits,
   * patience and its turn under a guarantee count from here; due times count from the acceptance.
   */
  public long sinceWallMs() {
    return sinceWallMs;
  }

  /** How urgent it is: as its user says, or as any job that needs it. */
  public Priority urgency() {
    return urgency;
  }

  /**
   * When it is due, in seconds from {@link #sinceWallMs}: by its own due time, or earlier if the
   * jobs that need it are due. Negative if that was over before it could run.
   */
  public OptionalDouble dueS() {
    return latestFinishWallMs.isPresent()
        ? OptionalDouble.of((latestFinishWallMs.getAsLong() - sinceWallMs) / 1000.0)
        : ownDueS(1);
  }

  /** The same for the last multiple of due times that counts for the jobs that need it. */
  public OptionalDouble lastChanceS() {
    return lastChanceWallMs.isPresent()
        ? OptionalDouble.of((lastChanceWallMs.getAsLong() - sinceWallMs) / 1000.0)
        : OptionalDouble.empty();
  }

  /** A multiple of its own due time, counted from its acceptance, in seconds from readiness. */
  public OptionalDouble ownDueS(double times) {
    return spec.dueS().isPresent()
        ? OptionalDouble.of(
            spec.dueS().getAsDouble() * times - (sinceWallMs - acceptedWallMs) / 1000.0)
        : OptionalDouble.empty();
  }

  /** All that it awaited is done. */
  public void readySince(long wallMs) {
    awaiting = false;
    sinceWallMs = wallMs;
  }

  /**
   * Records say that tasks of it are out, though what it awaits is not done: they count until they
   * are gone, and none is started.
   */
  public void await() {
    awaiting = true;
  }

  public boolean awaiting() {
    return awaiting;
  }

  /**
   * What the jobs that need it make of it; its own values where no other presses more.
   *
   * @param latestFinish by when it must be done, so that all that need it can be done when due
   * @param lastChance the same for the last multiples of their due times that count
   */
  public void passedBack(Priority mostUrgent, OptionalLong latestFinish, OptionalLong lastChance) {
    urgency = mostUrgent.compareTo(spec.urgency()) < 0 ? mostUrgent : spec.urgency();
    latestFinishWallMs = beforeOwn(latestFinish);
    lastChanceWallMs = latestFinishWallMs.isPresent() ? lastChance : OptionalLong.empty();
  }

  private OptionalLong beforeOwn(OptionalLong wallMs) {
    boolean earlier =
        wallMs.isPresent()
            && (spec.dueS().isEmpty()
                || wallMs.getAsLong()
                    < acceptedWallMs + Math.round(spec.dueS().getAsDouble() * 1000));
    return earlier ? wallMs : OptionalLong.empty();
  }

  public BitSet types() {
    return types;
  }

  public int zone() {
    return zone;
  }

  public BitSet done() {
    return done;
  }

  public BitSet waiting() {
    return waiting;
  }

  public Collection<Placement> live() {
    return live.values();
  }

  public Placement liveAt(int task) {
    return live.get(task);
  }

  public int liveInZone(int z) {
    return liveInZone[z];
  }

  /** May one more task be in the zone, given where the others are? */
  public boolean zoneAllowed(int z) {
    if (zone >= 0 && zone != z) {
      return false;
    }
    if (spec.oneZone()) {
      for (int other = 0; other < liveInZone.length; other++) {
        if (other != z && liveInZone[other] > 0) {
          return false;
        }
      }
    }
    return !spec.apart() || liveInZone[z] < (spec.tasks() + 1) / 2;
  }

  /** How many more tasks the zone may take at once. */
  public int zoneRoom(int z) {
    if (!zoneAllowed(z)) {
      return 0;
    }
    return spec.apart() ? (spec.tasks() + 1) / 2 - liveInZone[z] : Integer.MAX_VALUE;
  }

  public void place(Placement p) {
    waiting.clear(p.task());
    live.put(p.task(), p);
    liveInZone[p.machine().zone()]++;
  }

  /**
   * The task is proven gone from its place; it waits again unless it is done or nobody wants it.
   */
  public void unplace(Placement p) {
    if (live.remove(p.task(), p)) {
      liveInZone[p.machine().zone()]--;
      if (!done.get(p.task()) && !cancelled) {
        waiting.set(p.task());
      }
    }
  }

  public void markDone(int task) {
    if (!done.get(task)) {
      done.set(task);
      completions++;
    }
    waiting.clear(task);
    notBeforeMs.remove(task);
  }

  public boolean allDone() {
    return done.cardinality() == spec.tasks();
  }

  public int completions() {
    return completions;
  }

  public void cancel() {
    cancelled = true;
    waiting.clear();
  }

  public boolean cancelled() {
    return cancelled;
  }

  /** The job's end is durable. */
  public void finish() {
    finished = true;
    waiting.clear();
  }

  public boolean finished() {
    return finished;
  }

  /** Part of its progress can't be read: starting any task could run one twice. */
  public void block() {
    blocked = true;
    waiting.clear();
  }

  public boolean blocked() {
    return blocked;
  }

  public boolean over() {
    return cancelled || finished;
  }

  /** Cancelled, and proven to be nowhere. */
  public boolean isGone() {
    return cancelled && !finished && live.isEmpty();
  }

  /** Puts off the task after it ended without completing there. */
  public void putOff(int task, long untilMs) {
    notBeforeMs.put(task, untilMs);
  }

  public boolean isPutOff(int task, long nowMs) {
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
  public void failedOn(String host, long ranMs, long nowMs) {
    failures++;
    failedOn.add(host);
    longestFailedMs = Math.max(longestFailedMs, ranMs);
    // What began together and fails together is one try.
    if (!works(nowMs) && !held(nowMs)) {
      heldUntilMs = nowMs + Math.min(LONGEST_HOLD_MS, FIRST_HOLD_MS << Math.min(10, tries));
      tries++;
    }
  }

  public boolean hasFailedOn(String host) {
    return failedOn.contains(host);
  }

  /**
   * Has it never failed, or shown that it can run: by a task that completed, or by one that runs on
   * for well longer than those that failed had?
   */
  public boolean works(long nowMs) {
    if (failures == 0 || completions > 0) {
      return true;
    }
    long enoughMs = longestFailedMs * 3 / 2 + RUNS_MS;
    for (Placement p : live.values()) {
      if (p.runningSinceMs() >= 0
          && nowMs - p.runningSinceMs() >= enoughMs
          && !failedOn.contains(p.machine().host())) {
        return true;
      }
    }
    return false;
  }

  /** Failed on several machines, and runs nowhere: the job is at fault, not the machines. */
  public boolean looksBroken(long nowMs) {
    return failedOn.size() >= 2 && !works(nowMs);
  }

  public int failures() {
    return failures;
  }

  private boolean held(long nowMs) {
    return heldUntilMs > nowMs;
  }

  /** How many of its waiting tasks may be put on machines now. */
  public int openTasks(long nowMs) {
    if (waiting.isEmpty() || awaiting) {
      return 0;
    }
    if (works(nowMs) || spec.shape() == JobKind.GANG && !held(nowMs)) {
      return waiting.cardinality();
    }
    return held(nowMs) || !live.isEmpty() ? 0 : 1;
  }
}
