package org.ploverspindle.sim;

import java.util.stream.Stream;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs each of the subclass's combinations of faults once with the timing of each deployment. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
abstract class FaultScenarioTest {
  private final FaultScenario.Combination[] combinations;

  FaultScenarioTest(FaultScenario.Combination[] combinations) {
    this.combinations = combinations;
  }

  Stream<Arguments> scenarios() {
    return FaultScenario.combinationsByDeployment(combinations);
  }

  @ParameterizedTest(name = "{0}, {1}, seed {2}")
  @MethodSource("scenarios")
  void invariantsHoldInEachFaultCombination(
      FaultScenario.Combination combination, String deployment, long seed) {
    FaultScenario.assertInvariantsHold(combination, deployment, seed);
  }
}
