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
  private static final int FIRST = Integer.getInteger("first", 1);

  private static void sweep(int first, int seeds, LongFunction<SimulatedCluster> play) {
    List<String> failed = new ArrayList<>();
    for (long seed = first; seed < first + seeds; seed++) {
      SimulatedCluster w = play.apply(seed);
      if (!w.checker.broken().isEmpty()) {
        failed.add(seed + ": " + w.checker.broken().get(0));
      } else if (w.checker.neverBegun() > 0) {
        failed.add(seed + ": " + w.checker.neverBegun() + " accepted jobs never began");
      }
    }
    assertEquals(List.of(), failed);
  }

  @Test
  void manySeeds() {
    sweep(FIRST, SEEDS, seed -> InvariantsTest.play(seed, 14));
  }

  @Test
  void manySeedsOfPairs() {
    sweep(FIRST, SEEDS, seed -> InvariantsTest.playPairs(seed, 9));
  }

  @Test
  void manySeedsOfPipelines() {
    sweep(FIRST, SEEDS, seed -> PipelineFaultsTest.play(seed).w);
  }

  /** Each trouble with each, by its number: first, then second, with the seed given. */
  @Test
  void everyMeeting() {
    Faults[] all = Faults.values();
    sweep(
        0,
        all.length * all.length,
        n ->
            InvariantsTest.playMeeting(
                FIRST, all[(int) n / all.length], all[(int) n % all.length]));
  }
}
