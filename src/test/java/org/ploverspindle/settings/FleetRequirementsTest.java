package org.ploverspindle.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A limit that can't carry a fleet is named with one that can, and that one is enough. */
class FleetRequirementsTest {
  private static final int LARGE = 6_000;

  private static Settings settings(double cores, double ramMb, int sockets) throws Exception {
    return SettingsFile.parse(
        "s.toml",
        SettingsFileTest.sample()
            .replace("report_s = 1.0", "report_s = 5.0")
            .replace("cores = 1.0", "cores = " + cores)
            .replace("ram_mb = 256.0", "ram_mb = " + ramMb)
            .replace("max_connections = 100", "max_connections = " + sockets));
  }

  private static List<String> tooSmall(Settings settings) {
    return FleetRequirements.of(settings, LARGE).shortages(settings).stream()
        .map(LimitChecks.Warning::field)
        .toList();
  }

  @Test
  void eachQuotaThatIsTooSmallIsNamed() throws Exception {
    assertEquals(List.of(), tooSmall(settings(1, 1_000, 9_000)));
    assertEquals(List.of("params.quota.max_connections"), tooSmall(settings(1, 1_000, 5_000)));
    assertEquals(List.of("params.quota.ram_mb"), tooSmall(settings(1, 100, 9_000)));
    assertEquals(List.of("params.quota.cores"), tooSmall(settings(0.05, 1_000, 9_000)));
  }

  @Test
  void theFigureThatIsNamedIsEnoughAndOneLessIsNot() throws Exception {
    FleetRequirements needs = FleetRequirements.of(settings(1, 1_000, 9_000), LARGE);
    assertEquals(List.of(), tooSmall(settings(needs.cores(), needs.ramMb(), needs.sockets())));
    assertFalse(tooSmall(settings(1, 1_000, needs.sockets() - 1)).isEmpty());
  }

  @Test
  void theLargestFleetIsTheLastOneThatIsCarried() throws Exception {
    Settings settings = settings(1, 1_000, 3_000);
    int most = FleetRequirements.maxMachines(settings);
    assertTrue(most > 2_000 && most < 3_000, "3,000 sockets carry " + most);
    assertEquals(List.of(), FleetRequirements.of(settings, most).shortages(settings));
    assertFalse(FleetRequirements.of(settings, most + 1).shortages(settings).isEmpty());
  }
}
