package org.ploverspindle.sim;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a job of 100,000 tasks whose recorded progress fills the heap of its leader and
 * then of each successor. Runs {@link LargeJobProgressSoak} with the heap of the deploy file. The
 * system property {@code soak.jobs} sets the number of jobs, for longer runs by hand.
 */
class LargeJobProgressHeapTest {
  private static final int TASKS = 100_000;

  @ParameterizedTest
  @CsvSource({"1, 8192, 0.5, 300", "2, 2048, 0.5, 300", "3, 8192, 0, 300", "4, 8192, 0.5, 4000"})
  void progressOfLargeJobsFitsIntoTheHeapOfLeadersAndSuccessors(
      int seed, int valueBytes, double spread, int machines, @TempDir Path folder)
      throws Exception {
    DeployedJvm.run(
        LargeJobProgressSoak.class,
        List.of(
            Integer.toString(seed),
            Integer.toString(TASKS),
            Integer.toString(valueBytes),
            Double.toString(spread),
            Integer.toString(machines),
            System.getProperty("soak.jobs", "1"),
            "2"),
        folder);
  }
}
