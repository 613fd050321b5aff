package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against finished jobs that fill the heap of every controller, after a load or during it.
 * Runs {@link FinishedJobsLoad} with the heap of the deploy file. The system property {@code
 * load.jobs} sets the numbers of finished jobs, for larger ones by hand.
 */
class FinishedJobsHeapTest {
  private static final Pattern BYTES = Pattern.compile("jobs=(\\d+) .* bytes=(\\d+) ");

  /** The aim for what a finished job costs the heap. */
  private static final int MAX_BYTES_PER_JOB = 32;

  @Test
  void finishedJobTakesFewBytesAndAnyNumberOfThemCanBeLoaded(@TempDir Path folder)
      throws Exception {
    List<String> arguments = new ArrayList<>(List.of("3", "1000"));
    arguments.addAll(List.of(System.getProperty("load.jobs", "30000,100000").split(",")));
    String output = DeployedJvm.run(FinishedJobsLoad.class, arguments, folder);
    List<MatchResult> sizes = BYTES.matcher(output).results().toList();
    // The first run, with few jobs, also loads classes.
    for (int i = 2; i < sizes.size(); i++) {
      long jobs = number(sizes.get(i), 1) - number(sizes.get(i - 1), 1);
      long bytes = number(sizes.get(i), 2) - number(sizes.get(i - 1), 2);
      assertTrue(bytes <= MAX_BYTES_PER_JOB * jobs, bytes / jobs + " bytes a job: " + output);
    }
  }

  private static long number(MatchResult result, int group) {
    return Long.parseLong(result.group(group));
  }
}
