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
 * Once troubles are over: a job that waits, of which nothing begins, beside one and the same
 * machine that has room for a task of it all the while.
 */
final class IdleCapacityCheck {
  /** No job waits so long beside a machine that has room for it. */
  private static final long WAIT_MS = 90_000;

  /** A resource without a limit. */
  private static final double UNLIMITED = 1e12;

  /** A machine that is up, and whether it can still do what is asked of it. */
  private record Offer(Place place, Resources size, BooleanSupplier sound) {}

  private final SimClock clock;
  private final Settings settings;
  private final Map<String, Offer> offers = new LinkedHashMap<>();

  IdleCapacityCheck(SimClock clock, Settings settings) {
    this.clock = clock;
    this.settings = settings;
  }

  void machineUp(Place place, Resources size, BooleanSupplier sound) {
    offers.put(place.host(), new Offer(place, size, sound));
  }

  void check(
      Collection<ObservedJob> jobs,
      Predicate<ObservedJob> mayRun,
      BiConsumer<Rule, String> report) {
    Map<String, Resources> used = new HashMap<>();
    Map<String, Resources> usedByTeam = new HashMap<>();
    for (ObservedJob job : jobs) {
      Resources task = job.spec.perTask();
      for (Place place : job.on.values()) {
        used.merge(place.host(), task, Resources::plus);
        usedByTeam.merge(job.spec.team(), task, Resources::plus);
      }
    }
    List<Offer> sound = offers.values().stream().filter(o -> o.sound().getAsBoolean()).toList();
    for (ObservedJob job : jobs) {
      boolean waits =
          job.acceptedMs <= clock.nowMs()
              && mayRun.test(job)
              && job.finalWord.isEmpty()
              && job.done.size() + job.on.size() < job.spec.tasks();
      if (!waits || !isBelowLimit(job.spec, usedByTeam)) {
        job.roomSinceMs.clear();
        continue;
      }
      noteRoom(job, sound, used);
      reportIdleRoom(job, report);
    }
  }

  private void noteRoom(ObservedJob job, List<Offer> sound, Map<String, Resources> used) {
    Set<String> withRoom = new HashSet<>();
    for (Offer offer : sound) {
      String host = offer.place().host();
      Resources left = offer.size().minus(used.getOrDefault(host, Resources.NONE));
      if (job.mayBeOn(offer.place()) && job.spec.perTask().fitsIn(left)) {
        withRoom.add(host);
        job.roomSinceMs.putIfAbsent(host, clock.nowMs());
      }
    }
    job.roomSinceMs.keySet().retainAll(withRoom);
  }

  private void reportIdleRoom(ObservedJob job, BiConsumer<Rule, String> report) {
    for (Map.Entry<String, Long> room : job.roomSinceMs.entrySet()) {
      if (clock.nowMs() - room.getValue() > WAIT_MS) {
        report.accept(Rule.IDLE_ROOM, job.spec.uid() + " waits beside " + room.getKey());
        job.roomSinceMs.clear();
        return;
      }
    }
  }

  private boolean isBelowLimit(JobSpec spec, Map<String, Resources> usedByTeam) {
    Settings.Team team = settings.team(spec.team()).orElseThrow();
    Resources then = usedByTeam.getOrDefault(spec.team(), Resources.NONE).plus(spec.perTask());
    Resources limit =
        Resources.offered(
            team.maxCores() > 0 ? team.maxCores() : UNLIMITED,
            team.maxAccelerators() > 0 ? team.maxAccelerators() : UNLIMITED,
            UNLIMITED);
    return then.fitsIn(limit);
  }
}
