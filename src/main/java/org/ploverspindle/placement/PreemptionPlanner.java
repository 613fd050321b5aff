package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;

/**
 * Finds the tasks to stop so that a task of a job gets room. These are tasks of lower priority and,
 * for a job within its team's guarantee, tasks of other teams that exceed their own guarantee. The
 * plan that loses the least work comes first. Tasks that will end soon are not stopped. Nor are
 * tasks that have just started, if their start matters, since they could be stopped and started
 * again without end.
 */
final class PreemptionPlanner {
  /** A task that is expected to end within this many seconds is not stopped. */
  private static final double ENDS_SOON_S = 8;

  /** A task that has run for no longer than this many seconds has just started. */
  private static final double JUST_STARTED_S = 30;

  private static final double THOUSANDTHS_PER_CORE = 1_000;

  /**
   * A machine, with the resources that will be free on it once the tasks that are being stopped
   * have ended.
   */
  static final class Room {
    private final Machine machine;
    private final int index;
    private Resources free;

    /**
     * @param index the machine's position among those of the round, which orders plans that lose
     *     the same amount of work
     */
    Room(Machine machine, int index) {
      this.machine = machine;
      this.index = index;
      this.free = machine.free();
      for (Placement placement : machine.placements()) {
        if (placement.isStopping()) {
          release(placement);
        }
      }
    }

    void release(Placement placement) {
      free = free.plus(placement.job().perTask());
    }

    /** Reserves room for one task of the job. */
    void reserve(Job job) {
      free = free.minus(job.perTask());
    }
  }

  /**
   * The tasks to stop on one machine for one task of a job.
   *
   * @param lostCoreS core seconds of work that are lost and must be done again
   */
  record Plan(Room room, List<Placement> victims, double lostCoreS) {
    private int index() {
      return room.index;
    }
  }

  private final TeamUsage teams;
  private final RuntimeEstimates estimates;
  private final ServiceLevelObjectives objectives;

  PreemptionPlanner(
      TeamUsage teams, RuntimeEstimates estimates, ServiceLevelObjectives objectives) {
    this.teams = teams;
    this.estimates = estimates;
    this.objectives = objectives;
  }

  /**
   * Returns one plan for each machine on which a task of the job can get room, with those that lose
   * the least work first.
   *
   * @param withinGuarantee whether the task is within its team's guarantee
   */
  PriorityQueue<Plan> plans(Job job, List<Room> rooms, boolean withinGuarantee, long nowMs) {
    PriorityQueue<Plan> plans =
        new PriorityQueue<>(
            Comparator.comparingDouble(Plan::lostCoreS).thenComparingInt(Plan::index));
    for (Room room : rooms) {
      if (Placer.allows(job, room.machine)) {
        plan(job, room, withinGuarantee, nowMs).ifPresent(plans::add);
      }
    }
    return plans;
  }

  /** Returns the plan for one machine; empty when the task cannot get room there. */
  Optional<Plan> plan(Job job, Room room, boolean withinGuarantee, long nowMs) {
    if (job.perTask().fitsIn(room.free)) {
      return Optional.of(new Plan(room, List.of(), 0));
    }
    List<Placement> candidates = candidates(job, room, withinGuarantee, nowMs);
    Resources freeIfAllStopped = room.free;
    for (Placement candidate : candidates) {
      freeIfAllStopped = freeIfAllStopped.plus(candidate.job().perTask());
    }
    if (!job.perTask().fitsIn(freeIfAllStopped)) {
      return Optional.empty();
    }
    candidates.sort(
        Comparator.comparingDouble((Placement placement) -> lostCoreS(placement, nowMs))
            .thenComparingLong(Placement::attempt));
    List<Placement> victims = new ArrayList<>();
    Resources free = room.free;
    double lostCoreS = 0;
    for (Placement candidate : candidates) {
      victims.add(candidate);
      free = free.plus(candidate.job().perTask());
      lostCoreS += lostCoreS(candidate, nowMs);
      if (job.perTask().fitsIn(free)) {
        break;
      }
    }
    return Optional.of(new Plan(room, victims, lostCoreS));
  }

  private List<Placement> candidates(Job job, Room room, boolean withinGuarantee, long nowMs) {
    List<Placement> candidates = new ArrayList<>();
    for (Placement placement : room.machine.placements()) {
      if (!placement.isStopping() && mayStop(job, placement, withinGuarantee, nowMs)) {
        candidates.add(placement);
      }
    }
    return candidates;
  }

  private boolean mayStop(Job job, Placement placement, boolean withinGuarantee, long nowMs) {
    Job other = placement.job();
    boolean lowerPriority = other.priority().compareTo(job.priority()) > 0;
    boolean exceedsGuarantee =
        withinGuarantee
            && other.team() != job.team()
            && !teams.isWithinGuarantee(other.team(), Resources.NONE);
    if (!lowerPriority && !exceedsGuarantee || !isStarted(placement)) {
      return false;
    }
    double runningForS = RuntimeEstimates.runningForS(placement, nowMs);
    double expectedS = estimates.estimatedRuntimeS(other);
    boolean isProtectedStart = runningForS <= JUST_STARTED_S && startMatters(other);
    boolean endsSoon = expectedS > 0 && expectedS - runningForS <= ENDS_SOON_S;
    return !isProtectedStart && !endsSoon;
  }

  private static boolean isStarted(Placement placement) {
    return placement.phase() == Placement.Phase.RUNNING
        || placement.phase() == Placement.Phase.FETCHING;
  }

  /**
   * True when the job should start at once, so that the starts of its tasks must not be wasted: a
   * task that is stopped within 30 s of its start does not count as started for the objectives. Of
   * other jobs, tasks that have just started are the best ones to stop, as the least work is lost.
   */
  private boolean startMatters(Job job) {
    return objectives.requiresPromptStart(job) || job.priority().compareTo(Priority.HIGH) <= 0;
  }

  /** Returns the core seconds of work that are lost if the task is stopped now. */
  private static double lostCoreS(Placement placement, long nowMs) {
    Job job = placement.job();
    double lostS =
        job.spec().isCheckpointed()
            ? job.spec().checkpointCostS()
            : RuntimeEstimates.runningForS(placement, nowMs);
    return lostS * job.perTask().cores() / THOUSANDTHS_PER_CORE;
  }
}
