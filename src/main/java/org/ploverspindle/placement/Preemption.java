package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ploverspindle.jobs.Job;
import org.ploverspindle.jobs.Resources;
import org.ploverspindle.jobs.TeamUsage;
import org.ploverspindle.jobs.Urgency;
import org.ploverspindle.workers.Fleet;
import org.ploverspindle.workers.Machine;
import org.ploverspindle.workers.Placement;

/**
 * Makes room for pressing jobs: stops work of lower urgency, or what another team runs beyond its
 * guarantee when the job is within its own. The least work is lost first; what will end soon anyway
 * is left alone, and so is what has only just begun, since work must not go round in circles.
 */
final class Preemption {
  private static final double SOON_S = 8;
  private static final double JUST_BEGUN_S = 30;
  private static final int MAX_TASKS = 24;

  private final Fleet fleet;
  private final TeamUsage teams;
  private final Estimates estimates;
  private final Aims aims;
  private final long silenceMs;

  Preemption(Fleet fleet, TeamUsage teams, Estimates estimates, Aims aims, long silenceMs) {
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

  private record Plan(Room room, List<Placement> victims, double lost) {}

  /** Stops what must give way to the waiting jobs, the most pressing first; says how many tasks. */
  int run(List<Job> waiting, long nowMs) {
    List<Room> rooms = new ArrayList<>();
    for (Machine m : fleet.all()) {
      if (m.usable(nowMs, silenceMs)) {
        rooms.add(new Room(m));
      }
    }
    Map<Integer, Resources> promised = new HashMap<>();
    int stopped = 0;
    for (Job job : waiting) {
      boolean guaranteed = teams.withinGuarantee(job.team(), job.perTask());
      if (job.spec().urgency().compareTo(Urgency.HIGH) > 0 && !guaranteed) {
        continue;
      }
      int tasks =
          Math.min(
              MAX_TASKS,
              Math.min(job.waiting().cardinality(), teams.room(job.team(), job.perTask())));
      for (int i = 0; i < tasks && stopped < MAX_TASKS; i++) {
        Resources before = promised.getOrDefault(job.team(), Resources.NONE);
        boolean within = teams.withinGuarantee(job.team(), before.plus(job.perTask()));
        Optional<Plan> plan = plan(job, rooms, within, nowMs);
        if (plan.isEmpty()) {
          break;
        }
        promised.merge(job.team(), job.perTask(), Resources::plus);
        Room room = plan.get().room();
        for (Placement p : plan.get().victims()) {
          p.stop(p.job().spec().saves() ? p.job().spec().saveCostS() + 1 : 0);
          room.free = room.free.plus(p.job().perTask());
          stopped++;
        }
        room.free = room.free.minus(job.perTask());
      }
    }
    return stopped;
  }

  private Optional<Plan> plan(Job job, List<Room> rooms, boolean within, long nowMs) {
    Plan best = null;
    for (Room room : rooms) {
      if (!Placer.allows(job, room.machine)) {
        continue;
      }
      Optional<Plan> here = planOn(job, room, within, nowMs);
      if (here.isPresent() && (best == null || here.get().lost() < best.lost())) {
        best = here.get();
      }
    }
    return Optional.ofNullable(best);
  }

  private Optional<Plan> planOn(Job job, Room room, boolean within, long nowMs) {
    if (job.perTask().fitsIn(room.free)) {
      return Optional.of(new Plan(room, List.of(), 0));
    }
    List<Placement> candidates =
        room.machine.placements().stream()
            .filter(p -> !p.stopping() && mayStop(job, p, within, nowMs))
            .sorted(Comparator.comparingDouble(p -> lost(p, nowMs)))
            .toList();
    List<Placement> victims = new ArrayList<>();
    Resources free = room.free;
    double lost = 0;
    for (Placement p : candidates) {
      victims.add(p);
      free = free.plus(p.job().perTask());
      lost += lost(p, nowMs);
      if (job.perTask().fitsIn(free)) {
        return Optional.of(new Plan(room, victims, lost));
      }
    }
    return Optional.empty();
  }

  private boolean mayStop(Job job, Placement p, boolean within, long nowMs) {
    Job other = p.job();
    boolean lower = other.spec().urgency().compareTo(job.spec().urgency()) > 0;
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
    return aims.prompt(job) || job.spec().urgency().compareTo(Urgency.HIGH) <= 0;
  }

  private static double ranS(Placement p, long nowMs) {
    return p.runningSinceMs() < 0 ? 0 : (nowMs - p.runningSinceMs()) / 1000.0;
  }

  /** Core seconds that are done again after a stop now. */
  private static double lost(Placement p, long nowMs) {
    double lostS = p.job().spec().saves() ? p.job().spec().saveCostS() : ranS(p, nowMs);
    return lostS * p.job().perTask().cores() / 1000.0;
  }
}
