package org.ploverspindle.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.sim.InvariantChecker.Place;

/** What happened to a job on machines, and what its users requested and were answered. */
final class ObservedJob {
  final JobSpec spec;
  long acceptedMs = Long.MAX_VALUE;
  long submittedMs;
  long firstStartMs = -1;
  long unansweredSinceMs = -1;
  boolean cancellationRequested;
  long cancellationConfirmedMs = -1;
  boolean overdueReported;
  String finalStatus = "";
  long finalStatusMs = Long.MAX_VALUE;
  final Set<Integer> completedTasks = new HashSet<>();
  long completedMs = Long.MAX_VALUE;
  final Map<Integer, Place> placesByTask = new LinkedHashMap<>();
  final Map<String, Long> roomSinceMsByHost = new HashMap<>();

  ObservedJob(JobSpec spec) {
    this.spec = spec;
  }

  boolean isComplete() {
    return completedTasks.size() == spec.tasks();
  }

  /** Whether a cancellation was requested and no user was answered that the job is done. */
  boolean isCancelled() {
    return cancellationRequested && !finalStatus.equals("done");
  }

  /** Whether the job's constraints allow a task there, beside the tasks that run now. */
  boolean allowsPlace(Place place) {
    boolean typeOk = spec.allowedTypes().map(types -> types.contains(place.type())).orElse(true);
    boolean zoneOk = spec.requiredZone().map(zone -> zone.equals(place.zone())).orElse(true);
    long sameZone =
        placesByTask.values().stream().filter(at -> at.zone().equals(place.zone())).count();
    boolean oneZoneOk = !spec.oneZone() || sameZone == placesByTask.size();
    boolean spreadOk = !spec.spreadOverZones() || sameZone < (spec.tasks() + 1) / 2;
    return typeOk && zoneOk && oneZoneOk && spreadOk && (spec.spot() || !place.spot());
  }
}
