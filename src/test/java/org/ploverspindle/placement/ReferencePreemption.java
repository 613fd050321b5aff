package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;

/**
 * A reference model of preemption: searches all machines again for each task of a job. It is slow,
 * as it keeps no plans from one task to the next.
 */
final class ReferencePreemption {
  private static final long NOW = RandomFleet.NOW;

  private record Plan(Machine machine, List<Placement> victims, double lostCoreS) {}

  private final RandomFleet fleet;
  private final Map<Machine, Resources> free = new HashMap<>();
  private final Map<Integer, Resources> reservedByTeam = new HashMap<>();
  private final TreeSet<String> stopped = new TreeSet<>();

  ReferencePreemption(RandomFleet fleet) {
    this.fleet = fleet;
    fleet.machines.all().forEach(machine -> free.put(machine, machine.free()));
  }

  static String name(Placement placement) {
    return placement.job().uid() + "/" + placement.task();
  }

  /** Returns the names of the tasks that are to be stopped for the pending jobs. */
  TreeSet<String> run(List<Job> pending, int maxTasks) {
    for (Job job : pending) {
      boolean mayPreempt =
          job.spec().priority().compareTo(Priority.HIGH) <= 0
              || fleet.teams.isWithinGuarantee(job.team(), job.perTask());
      int tasks = job.pendingTasks().size();
      for (int i = 0; mayPreempt && i < tasks && stopped.size() < maxTasks; i++) {
        mayPreempt = makeRoom(job);
      }
    }
    return stopped;
  }

  /** Makes room for one task of the job; returns false when no machine can give it room. */
  private boolean makeRoom(Job job) {
    Resources reserved = reservedByTeam.getOrDefault(job.team(), Resources.NONE);
    boolean withinGuarantee =
        fleet.teams.isWithinGuarantee(job.team(), reserved.plus(job.perTask()));
    Plan best = null;
    for (Machine machine : fleet.machines.all()) {
      if (Placer.allows(job, machine)) {
        Plan plan = plan(job, machine, withinGuarantee);
        if (plan != null && (best == null || plan.lostCoreS() < best.lostCoreS())) {
          best = plan;
        }
      }
    }
    if (best == null) {
      return false;
    }
    reservedByTeam.merge(job.team(), job.perTask(), Resources::plus);
    for (Placement victim : best.victims()) {
      stopped.add(name(victim));
      free.merge(best.machine(), victim.job().perTask(), Resources::plus);
    }
    free.put(best.machine(), free.get(best.machine()).minus(job.perTask()));
    return true;
  }

  private Plan plan(Job job, Machine machine, boolean withinGuarantee) {
    List<Placement> candidates =
        machine.placements().stream()
            .filter(placement -> !stopped.contains(name(placement)))
            .filter(placement -> mayStop(job, placement, withinGuarantee))
            .sorted(
                Comparator.comparingDouble(ReferencePreemption::lostCoreS)
                    .thenComparingLong(Placement::attempt))
            .toList();
    Resources room = free.get(machine);
    double lostCoreS = 0;
    List<Placement> victims = new ArrayList<>();
    for (Placement candidate : candidates) {
      if (job.perTask().fitsIn(room)) {
        break;
      }
      victims.add(candidate);
      room = room.plus(candidate.job().perTask());
      lostCoreS += lostCoreS(candidate);
    }
    return job.perTask().fitsIn(room) ? new Plan(machine, victims, lostCoreS) : null;
  }

  private static double runningForS(Placement placement) {
    return (NOW - placement.runningSinceMs()) / 1000.0;
  }

  private static double lostCoreS(Placement placement) {
    Job job = placement.job();
    return (job.spec().isCheckpointed() ? job.spec().checkpointCostS() : runningForS(placement))
        * job.perTask().cores()
        / 1000.0;
  }

  private boolean mayStop(Job job, Placement placement, boolean withinGuarantee) {
    Job other = placement.job();
    boolean lowerPriority = other.spec().priority().compareTo(job.spec().priority()) > 0;
    boolean exceedsGuarantee =
        withinGuarantee
            && other.team() != job.team()
            && !fleet.teams.isWithinGuarantee(other.team(), Resources.NONE);
    double runS = other.spec().expectedS();
    boolean justStarted =
        runningForS(placement) <= 30 && other.spec().priority().compareTo(Priority.HIGH) <= 0;
    return (lowerPriority || exceedsGuarantee)
        && !justStarted
        && (runS <= 0 || runS - runningForS(placement) > 8);
  }
}
