package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;

/**
 * Checks many more seeds than the build does: {@code mvn test -Dtest=InvariantsSweep -Dseeds=1000}.
 * A seed that fails here is to be added to the seeds of {@link InvariantsTest}.
 */
class InvariantsSweep {
  private static final int SEEDS = Integer.getInteger("seeds", 100);
  private static final int FIRST_SEED = Integer.getInteger("first", 1);

  private static void assertRulesHoldForSeeds(
      int first, int seeds, LongFunction<SimulatedCluster> simulate) {
    List<String> failed = new ArrayList<>();
    for (long seed = first; seed < first + seeds; seed++) {
      SimulatedCluster cluster = simulate.apply(seed);
      if (!cluster.checker.violations().isEmpty()) {
        failed.add(seed + ": " + cluster.checker.violations().get(0));
      } else if (cluster.checker.neverStartedCount() > 0) {
        failed.add(
            seed + ": " + cluster.checker.neverStartedCount() + " accepted jobs never started");
      }
    }
    assertEquals(List.of(), failed);
  }

  @Test
  void rulesHoldUnderRandomFaults() {
    assertRulesHoldForSeeds(
        FIRST_SEED, SEEDS, seed -> InvariantsTest.simulateRandomFaults(seed, 14));
  }

  @Test
  void rulesHoldUnderOverlappingFaults() {
    assertRulesHoldForSeeds(
        FIRST_SEED, SEEDS, seed -> InvariantsTest.simulateOverlappingFaults(seed, 9));
  }

  @Test
  void rulesHoldForPipelinesUnderFaults() {
    assertRulesHoldForSeeds(FIRST_SEED, SEEDS, seed -> PipelineFaultsTest.runDay(seed).w);
  }

  /**
   * Simulates every ordered pair of faults with {@link #FIRST_SEED}. A failure is listed under the
   * number of the pair: the first fault's ordinal times the number of faults, plus the second's.
   */
  @Test
  void rulesHoldForEveryPairOfFaults() {
    Faults[] faults = Faults.values();
    assertRulesHoldForSeeds(
        0,
        faults.length * faults.length,
        pair ->
            InvariantsTest.simulateRepeatedFaultPair(
                FIRST_SEED,
                faults[(int) pair / faults.length],
                faults[(int) pair % faults.length]));
  }
}
