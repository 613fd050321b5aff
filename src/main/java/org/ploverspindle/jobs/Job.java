package org.ploverspindle.jobs;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ploverspindle.workers.Placement;

/** A job as the leader sees it during its term. */
public final class Job {
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
  private long heldUntilMs;
  private int failures;
  private int completions;
  private boolean cancelled;
  private boolean finished;
  private boolean blocked;

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

  public void failedOn(String host, long nowMs) {
    failures++;
    failedOn.add(host);
    // A job submitted with a mistake fails everywhere: it must not keep the machines busy.
    if (completions == 0 && failedOn.size() >= 3) {
      heldUntilMs = nowMs + Math.min(60_000, 2_000L * (1L << Math.min(5, failedOn.size() - 3)));
    }
  }

  /** Failed on three machines and never completed anywhere: the job, not the machines. */
  public boolean looksBroken() {
    return completions == 0 && failedOn.size() >= 3;
  }

  public int failures() {
    return failures;
  }

  public boolean held(long nowMs) {
    return heldUntilMs > nowMs;
  }
}
