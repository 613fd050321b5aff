package org.ploverspindle.sim;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Resources;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.sim.InvariantChecker.Place;
import org.ploverspindle.sim.InvariantChecker.Rule;

/**
 * Reports a job of which no task starts although one machine has room for a task of it all the
 * time. The checker applies it after the faults have ended.
 */
final class IdleCapacityCheck {
  /** Longest time that a job may wait while the same machine has room for a task of it. */
  private static final long MAX_WAIT_MS = 90_000;

  /** Stands for the limit of a resource that is not limited. */
  private static final double UNLIMITED = 1e12;

  /** A machine that is up; {@code usable} tells whether it can still execute commands. */
  private record Machine(Place place, Resources size, BooleanSupplier usable) {}

  private final SimClock clock;
  private final Settings settings;
  private final Map<String, Machine> machines = new LinkedHashMap<>();

  IdleCapacityCheck(SimClock clock, Settings settings) {
    this.clock = clock;
    this.settings = settings;
  }

  void machineUp(Place place, Resources size, BooleanSupplier usable) {
    machines.put(place.host(), new Machine(place, size, usable));
  }

  void check(
      Collection<ObservedJob> jobs,
      Predicate<ObservedJob> mayRun,
      BiConsumer<Rule, String> report) {
    Map<String, Resources> used = new HashMap<>();
    Map<String, Resources> usedByTeam = new HashMap<>();
    for (ObservedJob job : jobs) {
      Resources task = job.spec.perTask();
      for (Place place : job.placesByTask.values()) {
        used.merge(place.host(), task, Resources::plus);
        usedByTeam.merge(job.spec.team(), task, Resources::plus);
      }
    }
    List<Machine> usable =
        machines.values().stream().filter(machine -> machine.usable().getAsBoolean()).toList();
    for (ObservedJob job : jobs) {
      boolean waits =
          job.acceptedMs <= clock.nowMs()
              && mayRun.test(job)
              && job.finalStatus.isEmpty()
              && job.completedTasks.size() + job.placesByTask.size() < job.spec.tasks();
      if (!waits || !isBelowLimit(job.spec, usedByTeam)) {
        job.roomSinceMsByHost.clear();
        continue;
      }
      updateRoom(job, usable, used);
      reportIdleRoom(job, report);
    }
  }

  private void updateRoom(ObservedJob job, List<Machine> usable, Map<String, Resources> used) {
    Set<String> withRoom = new HashSet<>();
    for (Machine machine : usable) {
      String host = machine.place().host();
      Resources free = machine.size().minus(used.getOrDefault(host, Resources.NONE));
      if (job.allowsPlace(machine.place()) && job.spec.perTask().fitsIn(free)) {
        withRoom.add(host);
        job.roomSinceMsByHost.putIfAbsent(host, clock.nowMs());
      }
    }
    job.roomSinceMsByHost.keySet().retainAll(withRoom);
  }

  private void reportIdleRoom(ObservedJob job, BiConsumer<Rule, String> report) {
    for (Map.Entry<String, Long> room : job.roomSinceMsByHost.entrySet()) {
      if (clock.nowMs() - room.getValue() > MAX_WAIT_MS) {
        report.accept(Rule.IDLE_ROOM, job.spec.uid() + " waits beside room on " + room.getKey());
        job.roomSinceMsByHost.clear();
        return;
      }
    }
  }

  private boolean isBelowLimit(JobSpec spec, Map<String, Resources> usedByTeam) {
    Settings.Team team = settings.team(spec.team()).orElseThrow();
    Resources withTask = usedByTeam.getOrDefault(spec.team(), Resources.NONE).plus(spec.perTask());
    Resources limit =
        Resources.offered(
            team.maxCores() > 0 ? team.maxCores() : UNLIMITED,
            team.maxAccelerators() > 0 ? team.maxAccelerators() : UNLIMITED,
            UNLIMITED);
    return withTask.fitsIn(limit);
  }
}
