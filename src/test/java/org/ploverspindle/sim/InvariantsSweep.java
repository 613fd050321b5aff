package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;

/**
 * Many more seeds than the build plays: {@code mvn test -Dtest=InvariantsSweep -Dseeds=1000}. A
 * seed that fails here gets a name in {@link InvariantsTest}.
 */
class InvariantsSweep {
  private static final int SEEDS = Integer.getInteger("seeds", 100);
  private static final int FIRST_SEED = Integer.getInteger("first", 1);

  private static void assertRulesHoldForSeeds(
      int first, int seeds, LongFunction<SimulatedCluster> simulate) {
    List<String> failed = new ArrayList<>();
    for (long seed = first; seed < first + seeds; seed++) {
      SimulatedCluster cluster = simulate.apply(seed);
      if (!cluster.checker.broken().isEmpty()) {
        failed.add(seed + ": " + cluster.checker.broken().get(0));
      } else if (cluster.checker.neverBegun() > 0) {
        failed.add(seed + ": " + cluster.checker.neverBegun() + " accepted jobs never began");
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
    assertRulesHoldForSeeds(FIRST_SEED, SEEDS, seed -> PipelineFaultsTest.play(seed).w);
  }

  /** Each trouble with each, by its number: first, then second, with the seed given. */
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
