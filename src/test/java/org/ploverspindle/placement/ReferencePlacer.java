package org.ploverspindle.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.model.Resources;

/**
 * A reference model of placement: searches all machines for each task and places it on the best
 * one. Team red has a limit of 60 cores, and other teams have none.
 */
final class ReferencePlacer {
  private static final long RED_LIMIT = 60_000;

  private final MachineRegistry fleet;
  private final Map<Machine, Resources> free = new HashMap<>();
  private final Map<Machine, Set<String>> images = new HashMap<>();
  private long usedCoresOfRed;

  ReferencePlacer(MachineRegistry fleet) {
    this.fleet = fleet;
    fleet.all().forEach(machine -> free.put(machine, machine.free()));
  }

  /** Places the jobs' tasks in this order, and returns the host of each placed task. */
  Map<String, String> place(List<Job> order) {
    Map<String, String> hosts = new TreeMap<>();
    for (Job job : order) {
      Map<Integer, Integer> tasksInZone = new HashMap<>();
      for (int task = 0; task < job.spec().tasks() && isWithinLimit(job); task++) {
        Optional<Machine> best = best(job, tasksInZone);
        if (best.isEmpty()) {
          break;
        }
        place(job, best.get());
        tasksInZone.merge(best.get().zone(), 1, Integer::sum);
        hosts.put(job.uid() + "/" + task, best.get().host());
      }
    }
    return hosts;
  }

  private static boolean isRed(Job job) {
    return job.spec().team().equals("red");
  }

  private boolean isWithinLimit(Job job) {
    return !isRed(job) || usedCoresOfRed + job.perTask().cores() <= RED_LIMIT;
  }

  private void place(Job job, Machine machine) {
    free.merge(machine, job.perTask(), Resources::minus);
    images.computeIfAbsent(machine, key -> new HashSet<>()).add(job.spec().image());
    usedCoresOfRed += isRed(job) ? job.perTask().cores() : 0;
  }

  private Optional<Machine> best(Job job, Map<Integer, Integer> tasksInZone) {
    Machine best = null;
    double bestScore = Double.MAX_VALUE;
    for (Machine machine : fleet.all()) {
      if (allows(job, machine, tasksInZone) && score(job, machine) < bestScore) {
        best = machine;
        bestScore = score(job, machine);
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean allows(Job job, Machine machine, Map<Integer, Integer> tasksInZone) {
    int tasksInThisZone = tasksInZone.getOrDefault(machine.zone(), 0);
    int tasksInAllZones = tasksInZone.values().stream().mapToInt(Integer::intValue).sum();
    return job.compatibleTypes().get(machine.type())
        && (job.spec().spot() || !machine.isSpot())
        && (job.requiredZone() < 0 || job.requiredZone() == machine.zone())
        && (!job.spec().oneZone() || tasksInThisZone == tasksInAllZones)
        && (!job.spec().spreadOverZones() || tasksInThisZone < (job.spec().tasks() + 1) / 2)
        && job.perTask().fitsIn(free.get(machine));
  }

  private double score(Job job, Machine machine) {
    boolean hasImage = images.getOrDefault(machine, Set.of()).contains(job.spec().image());
    double fetchCores = hasImage ? 0 : job.spec().imageGb() * 2;
    boolean prefersOnDemand = job.spec().checkpointIntervalS() == 0 && job.spec().expectedS() > 20;
    double otherKindCores = prefersOnDemand == machine.isSpot() ? 20 : 0;
    return free.get(machine).cores() / 1000.0 + fetchCores + otherKindCores;
  }
}
