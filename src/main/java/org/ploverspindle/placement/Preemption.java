package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;

/**
 * Makes room for pressing jobs: stops work of lower urgency, or what another team runs beyond its
 * guarantee when the job is within its own. The least work is lost first; what will end soon anyway
 * is left alone, and so is what has only just begun, since work must not go round in circles.
 */
final class Preemption {
  private static final double SOON_S = 8;
  private static final double JUST_BEGUN_S = 30;

  /** At most so many tasks are stopped at once, and in a large fleet one for so many machines. */
  private static final int LEAST_TASKS = 24;

  private static final int MACHINES_A_TASK = 10;

  private final MachineRegistry fleet;
  private final TeamUsage teams;
  private final RuntimeEstimates estimates;
  private final ServiceLevelObjectives aims;
  private final long silenceMs;

  Preemption(
      MachineRegistry fleet,
      TeamUsage teams,
      RuntimeEstimates estimates,
      ServiceLevelObjectives aims,
      long silenceMs) {
    this.fleet = fleet;
    this.teams = teams;
    this.estimates = estimates;
    this.aims = aims;
    this.silenceMs = silenceMs;
  }

  /** A machine with what is free on it once the tasks that are being stopped are gone. */
  private static final class Room {
    private final Machine machine;
    private Resources free;

    Room(Machine machine) {
      this.machine = machine;
      this.free = machine.free();
      for (Placement p : machine.placements()) {
        if (p.stopping()) {
          free = free.plus(p.job().perTask());
        }
      }
    }
  }

  private record Plan(Room room, int order, List<Placement> victims, double lost) {}

  /** All that a plan for a job rests on: where one job found none, a like one finds none. */
  private record Like(
      Resources perTask,
      BitSet types,
      boolean spot,
      Priority urgency,
      int team,
      boolean within,
      Optional<String> bound) {
    static Like of(Job job, boolean within) {
      boolean bound = job.zone() >= 0 || job.spec().oneZone() || job.spec().spreadOverZones();
      return new Like(
          job.perTask(),
          job.types(),
          job.spec().spot(),
          job.priority(),
          job.team(),
          within,
          bound ? Optional.of(job.uid()) : Optional.empty());
    }
  }

  /** Stops what must give way to the waiting jobs, the most pressing first; says how many tasks. */
  int run(List<Job> waiting, long nowMs) {
    List<Job> pressing =
        waiting.stream()
            .filter(
                j ->
                    j.priority().compareTo(Priority.HIGH) <= 0
                        || teams.withinGuarantee(j.team(), j.perTask()))
            .toList();
    if (pressing.isEmpty()) {
      return 0;
    }
    List<Room> rooms = new ArrayList<>();
    for (Machine m : fleet.all()) {
      if (m.isSchedulable(nowMs, silenceMs)) {
        rooms.add(new Room(m));
      }
    }
    int mostTasks = Math.max(LEAST_TASKS, rooms.size() / MACHINES_A_TASK);
    Map<Integer, Resources> promised = new HashMap<>();
    Set<Like> hopeless = new HashSet<>();
    int stopped = 0;
    for (Job job : pressing) {
      int tasks =
          Math.min(job.schedulableTasks(nowMs), teams.tasksWithinLimit(job.team(), job.perTask()));
      if (tasks <= 0 || stopped >= mostTasks) {
        continue;
      }
      boolean within = withinGuarantee(job, promised);
      Like like = Like.of(job, within);
      PriorityQueue<Plan> plans =
          hopeless.contains(like) ? new PriorityQueue<>() : plans(job, rooms, within, nowMs);
      for (int i = 0; i < tasks && stopped < mostTasks; i++) {
        if (withinGuarantee(job, promised) != within) {
          within = !within;
          plans = plans(job, rooms, within, nowMs);
        }
        Plan plan = plans.poll();
        if (plan == null) {
          hopeless.add(Like.of(job, within));
          break;
        }
        promised.merge(job.team(), job.perTask(), Resources::plus);
        Room room = plan.room();
        for (Placement p : plan.victims()) {
          p.stop(p.job().spec().isCheckpointed() ? p.job().spec().checkpointCostS() + 1 : 0);
          room.free = room.free.plus(p.job().perTask());
          stopped++;
        }
        room.free = room.free.minus(job.perTask());
        // Only this machine has changed; the plans for all others still stand.
        planOn(job, room, plan.order(), within, nowMs).ifPresent(plans::add);
      }
    }
    return stopped;
  }

  private boolean withinGuarantee(Job job, Map<Integer, Resources> promised) {
    Resources before = promised.getOrDefault(job.team(), Resources.NONE);
    return teams.withinGuarantee(job.team(), before.plus(job.perTask()));
  }

  /** One plan for each machine where one task of the job could get room, the least loss first. */
  private PriorityQueue<Plan> plans(Job job, List<Room> rooms, boolean within, long nowMs) {
    PriorityQueue<Plan> plans =
        new PriorityQueue<>(Comparator.comparingDouble(Plan::lost).thenComparingInt(Plan::order));
    for (int i = 0; i < rooms.size(); i++) {
      if (Placer.allows(job, rooms.get(i).machine)) {
        planOn(job, rooms.get(i), i, within, nowMs).ifPresent(plans::add);
      }
    }
    return plans;
  }

  private Optional<Plan> planOn(Job job, Room room, int order, boolean within, long nowMs) {
    if (job.perTask().fitsIn(room.free)) {
      return Optional.of(new Plan(room, order, List.of(), 0));
    }
    List<Placement> candidates = new ArrayList<>();
    Resources most = room.free;
    for (Placement p : room.machine.placements()) {
      if (!p.stopping() && mayStop(job, p, within, nowMs)) {
        candidates.add(p);
        most = most.plus(p.job().perTask());
      }
    }
    if (!job.perTask().fitsIn(most)) {
      return Optional.empty();
    }
    candidates.sort(
        Comparator.comparingDouble((Placement p) -> lost(p, nowMs))
            .thenComparingLong(Placement::attempt));
    List<Placement> victims = new ArrayList<>();
    Resources free = room.free;
    double lost = 0;
    for (Placement p : candidates) {
      victims.add(p);
      free = free.plus(p.job().perTask());
      lost += lost(p, nowMs);
      if (job.perTask().fitsIn(free)) {
        break;
      }
    }
    return Optional.of(new Plan(room, order, victims, lost));
  }

  private boolean mayStop(Job job, Placement p, boolean within, long nowMs) {
    Job other = p.job();
    boolean lower = other.priority().compareTo(job.priority()) > 0;
    boolean borrowed =
        within
            && other.team() != job.team()
            && !teams.withinGuarantee(other.team(), Resources.NONE);
    if (!lower && !borrowed
        || p.phase() != Placement.Phase.RUNNING && p.phase() != Placement.Phase.FETCHING) {
      return false;
    }
    double ranS = ranS(p, nowMs);
    double expectedS = estimates.runS(other);
    boolean fresh = ranS <= JUST_BEGUN_S && startMatters(other);
    return !fresh && (expectedS <= 0 || expectedS - ranS > SOON_S);
  }

  /**
   * A start that is stopped within 30 s does not count. Where nobody waits for the start, what has
   * just begun is the best to stop, as the least work is lost with it.
   */
  private boolean startMatters(Job job) {
    return aims.requiresPromptStart(job) || job.priority().compareTo(Priority.HIGH) <= 0;
  }

  private static double ranS(Placement p, long nowMs) {
    return p.runningSinceMs() < 0 ? 0 : (nowMs - p.runningSinceMs()) / 1000.0;
  }

  /** Core seconds that are done again after a stop now. */
  private static double lost(Placement p, long nowMs) {
    double lostS =
        p.job().spec().isCheckpointed() ? p.job().spec().checkpointCostS() : ranS(p, nowMs);
    return lostS * p.job().perTask().cores() / 1000.0;
  }
}
