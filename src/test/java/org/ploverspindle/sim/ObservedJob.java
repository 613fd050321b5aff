package org.ploverspindle.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.sim.InvariantChecker.Place;

/** What truly happened to a job on machines, and what its users asked and were told. */
final class ObservedJob {
  final JobSpec spec;
  long acceptedMs = Long.MAX_VALUE;
  long submittedMs;
  long begunMs = -1;
  long askedSinceMs = -1;
  boolean cancelAsked;
  long cancelToldMs = -1;
  boolean runsOnReported;
  String finalWord = "";
  long finalMs = Long.MAX_VALUE;
  final Set<Integer> done = new HashSet<>();
  long doneMs = Long.MAX_VALUE;
  final Map<Integer, Place> on = new LinkedHashMap<>();
  final Map<String, Long> roomSinceMs = new HashMap<>();

  ObservedJob(JobSpec spec) {
    this.spec = spec;
  }

  boolean allDone() {
    return done.size() == spec.tasks();
  }

  /** Its user asked to cancel it, and was not told that it is done already. */
  boolean isCancelled() {
    return cancelAsked && !finalWord.equals("done");
  }

  /** By the job's demands and where its other tasks are now. */
  boolean mayBeOn(Place place) {
    boolean typeOk = spec.types().map(types -> types.contains(place.type())).orElse(true);
    boolean zoneOk = spec.zone().map(zone -> zone.equals(place.zone())).orElse(true);
    long sameZone = on.values().stream().filter(at -> at.zone().equals(place.zone())).count();
    boolean oneZoneOk = !spec.oneZone() || sameZone == on.size();
    boolean spreadOk = !spec.spreadOverZones() || sameZone < (spec.tasks() + 1) / 2;
    return typeOk && zoneOk && oneZoneOk && spreadOk && (spec.spot() || !place.spot());
  }
}
