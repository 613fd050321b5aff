package org.ploverspindle.cluster;

import org.ploverspindle.model.JobSpec;

/** Decides in which zones a job's tasks may be placed, given the zones of its placements. */
final class ZoneConstraints {
  private final JobSpec spec;
  private final int requiredZone;
  private final int[] placementsInZone;

  /**
   * @param requiredZone index of the only allowed zone, or {@link Job#ANY_ZONE}
   */
  ZoneConstraints(JobSpec spec, int requiredZone, int zoneCount) {
    this.spec = spec;
    this.requiredZone = requiredZone;
    this.placementsInZone = new int[zoneCount];
  }

  int requiredZone() {
    return requiredZone;
  }

  void add(Placement placement) {
    placementsInZone[placement.machine().zone()]++;
  }

  void remove(Placement placement) {
    placementsInZone[placement.machine().zone()]--;
  }

  /** Whether one more task may be placed in the zone. */
  boolean allows(int zone) {
    if (requiredZone >= 0 && requiredZone != zone) {
      return false;
    }
    if (spec.oneZone() && hasPlacementOutside(zone)) {
      return false;
    }
    return !spec.spreadOverZones() || placementsInZone[zone] < maxPlacementsPerZone();
  }

  private boolean hasPlacementOutside(int zone) {
    for (int other = 0; other < placementsInZone.length; other++) {
      if (other != zone && placementsInZone[other] > 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * The largest number of placements in one zone for a job that is spread over zones: half of its
   * tasks, rounded up.
   */
  private int maxPlacementsPerZone() {
    return (spec.tasks() + 1) / 2;
  }
}
