package org.ploverspindle.cluster;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;

/**
 * Guards against placing a task in a zone that its job does not allow: outside the required zone,
 * in a second zone for a job that must stay in one, or too many tasks in one zone for a job that is
 * spread over zones.
 */
class ZoneConstraintsTest {
  private static final int ZONES = 3;

  private static JobSpec spec(int tasks, boolean oneZone, boolean spreadOverZones) {
    return new JobSpec(
        "run-1",
        "class",
        "red",
        JobKind.BATCH,
        Priority.NORMAL,
        tasks,
        1,
        0,
        1,
        Optional.empty(),
        Optional.empty(),
        oneZone,
        spreadOverZones,
        true,
        "",
        0,
        30,
        0,
        0,
        OptionalDouble.empty(),
        List.of());
  }

  private static Placement placementIn(int zone, JobSpec spec) {
    Machine machine = new Machine("i-1", 0, zone, true, Resources.offered(4, 0, 16), 0, 1);
    Job job = new Job(spec, 0, 80, 0, new BitSet(), Job.ANY_ZONE, ZONES);
    return new Placement(job, 0, 1, machine, 1, Placement.Phase.INTENT);
  }

  @Test
  void withoutConstraintsEveryZoneIsAllowed() {
    JobSpec spec = spec(4, false, false);
    ZoneConstraints zones = new ZoneConstraints(spec, Job.ANY_ZONE, ZONES);
    zones.add(placementIn(0, spec));
    assertTrue(zones.allows(0));
    assertTrue(zones.allows(2));
  }

  @Test
  void requiredZoneExcludesAllOtherZones() {
    ZoneConstraints zones = new ZoneConstraints(spec(4, false, false), 1, ZONES);
    assertFalse(zones.allows(0));
    assertTrue(zones.allows(1));
  }

  @Test
  void oneZoneJobIsLimitedToTheZoneOfItsPlacementUntilThatIsRemoved() {
    JobSpec spec = spec(4, true, false);
    ZoneConstraints zones = new ZoneConstraints(spec, Job.ANY_ZONE, ZONES);
    Placement first = placementIn(2, spec);
    zones.add(first);
    assertFalse(zones.allows(0));
    assertTrue(zones.allows(2));
    zones.remove(first);
    assertTrue(zones.allows(0));
  }

  @Test
  void spreadJobIsLimitedToHalfOfItsTasksRoundedUpPerZone() {
    JobSpec spec = spec(3, false, true);
    ZoneConstraints zones = new ZoneConstraints(spec, Job.ANY_ZONE, ZONES);
    zones.add(placementIn(0, spec));
    assertTrue(zones.allows(0));
    zones.add(placementIn(0, spec));
    assertFalse(zones.allows(0));
    assertTrue(zones.allows(1));
  }
}
