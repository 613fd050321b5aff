package org.ploverspindle.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong sizing advice. Each quota that is too small for a fleet must be reported,
 * the value reported as required must suffice, and the largest fleet must be exact: one machine
 * more no longer fits.
 */
class FleetRequirementsTest {
  private static final int LARGE_FLEET_MACHINES = 6_000;

  private static Settings settings(double cores, double ramMb, int sockets) throws Exception {
    return SettingsFile.parse(
        "s.toml",
        SettingsFileTest.sampleText()
            .replace("report_s = 1.0", "report_s = 5.0")
            .replace("cores = 1.0", "cores = " + cores)
            .replace("ram_mb = 256.0", "ram_mb = " + ramMb)
            .replace("max_connections = 100", "max_connections = " + sockets));
  }

  private static List<String> fieldsTooSmallForLargeFleet(Settings settings) {
    return FleetRequirements.of(settings, LARGE_FLEET_MACHINES).shortages(settings).stream()
        .map(LimitChecks.Warning::field)
        .toList();
  }

  @Test
  void quotaTooSmallForTheFleetIsReportedByItsField() throws Exception {
    assertEquals(List.of(), fieldsTooSmallForLargeFleet(settings(1, 1_000, 9_000)));
    assertEquals(
        List.of("params.quota.max_connections"),
        fieldsTooSmallForLargeFleet(settings(1, 1_000, 5_000)));
    assertEquals(
        List.of("params.quota.ram_mb"), fieldsTooSmallForLargeFleet(settings(1, 100, 9_000)));
    assertEquals(
        List.of("params.quota.cores"), fieldsTooSmallForLargeFleet(settings(0.05, 1_000, 9_000)));
  }

  @Test
  void requiredQuotaIsEnoughAndOneSocketFewerIsNot() throws Exception {
    FleetRequirements requirements =
        FleetRequirements.of(settings(1, 1_000, 9_000), LARGE_FLEET_MACHINES);
    assertEquals(
        List.of(),
        fieldsTooSmallForLargeFleet(
            settings(requirements.cores(), requirements.ramMb(), requirements.sockets())));
    assertFalse(
        fieldsTooSmallForLargeFleet(settings(1, 1_000, requirements.sockets() - 1)).isEmpty());
  }

  @Test
  void largestFleetHasNoShortagesAndOneMachineMoreHasSome() throws Exception {
    Settings settings = settings(1, 1_000, 3_000);
    int maxMachines = FleetRequirements.maxMachines(settings);
    assertTrue(maxMachines > 2_000 && maxMachines < 3_000, "3,000 sockets carry " + maxMachines);
    assertEquals(List.of(), FleetRequirements.of(settings, maxMachines).shortages(settings));
    assertFalse(FleetRequirements.of(settings, maxMachines + 1).shortages(settings).isEmpty());
  }
}
