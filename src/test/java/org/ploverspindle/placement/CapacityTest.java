package org.ploverspindle.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;

/**
 * Guards against wrong capacity from rounding the times at which cores become free to steps:
 * compares it with the exact sum over all placements.
 */
class CapacityTest {
  private static final long NOW = RandomFleet.NOW;

  /**
   * The exact capacity in thousandths of core seconds: each core counts for the part of the time
   * that is left when it becomes free.
   */
  private static double exactCapacity(RandomFleet fleet, double withinS) {
    double sum = 0;
    for (Machine machine : fleet.machines.all()) {
      sum += machine.free().cores() * withinS;
      for (Placement placement : machine.placements()) {
        double freeS = withinS - fleet.estimates.remainingS(placement, NOW);
        sum += placement.job().perTask().cores() * Math.max(0, freeS);
      }
    }
    return sum;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void capacityInStepsIsCloseToTheExactSum(long seed) {
    Random random = new Random(seed);
    RandomFleet fleet = new RandomFleet(random, 1_700);
    Capacity capacity = new Capacity(fleet.machines, fleet.estimates, NOW, 60_000);
    for (int i = 0; i < 200; i++) {
      double withinS = random.nextDouble() * 240;
      double exact = exactCapacity(fleet, withinS);
      assertEquals(
          exact,
          capacity.coreSecondsWithin(withinS),
          exact * 0.005 + 20_000,
          "capacity within " + withinS + " s");
    }
  }
}
