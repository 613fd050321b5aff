package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Many more seeds than the build plays: {@code mvn test -Dtest=RulesSweep -Dseeds=1000}. A seed
 * that fails here gets a name in {@link RulesTest}.
 */
class RulesSweep {
  @Test
  void manySeeds() {
    int seeds = Integer.getInteger("seeds", 100);
    int first = Integer.getInteger("first", 1);
    List<String> failed = new ArrayList<>();
    for (long seed = first; seed < first + seeds; seed++) {
      World w = RulesTest.play(seed, 14);
      if (!w.checker.broken().isEmpty()) {
        failed.add(seed + ": " + w.checker.broken().get(0));
      }
    }
    assertEquals(List.of(), failed);
  }
}
