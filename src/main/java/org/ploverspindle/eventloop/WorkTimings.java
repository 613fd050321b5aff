package org.ploverspindle.eventloop;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** Measures how long the event loop was busy with each kind of work, for operators. */
public final class WorkTimings {
  private static final long NANOS_PER_MS = 1_000_000;

  private static final class Timing {
    private long totalNanos;
    private long longestNanos;
    private long runs;
  }

  /** What was recorded since the last summary, by the name of the work. */
  private final Map<String, Timing> timings = new TreeMap<>();

  /** Runs the work and records its duration under the given name, even if the work throws. */
  public void run(String workName, Runnable work) {
    long startNanos = System.nanoTime();
    try {
      work.run();
    } finally {
      record(workName, System.nanoTime() - startNanos);
    }
  }

  /**
   * Runs the work, records its duration under the given name, even if the work throws, and returns
   * its result.
   */
  public <T> T call(String workName, Supplier<T> work) {
    long startNanos = System.nanoTime();
    try {
      return work.get();
    } finally {
      record(workName, System.nanoTime() - startNanos);
    }
  }

  private void record(String workName, long nanos) {
    Timing timing = timings.computeIfAbsent(workName, name -> new Timing());
    timing.totalNanos += nanos;
    timing.longestNanos = Math.max(timing.longestNanos, nanos);
    timing.runs++;
  }

  /**
   * Returns a summary of what was recorded since the last call, in one line, and clears it. For
   * each kind of work it names the total duration in milliseconds, the number of runs, and the
   * duration of the longest run in milliseconds.
   */
  public String drainSummary() {
    StringBuilder summary = new StringBuilder();
    timings.forEach(
        (workName, timing) ->
            summary
                .append(summary.isEmpty() ? "" : ", ")
                .append(workName)
                .append(' ')
                .append(timing.totalNanos / NANOS_PER_MS)
                .append(" ms in ")
                .append(timing.runs)
                .append(" (longest ")
                .append(timing.longestNanos / NANOS_PER_MS)
                .append(')'));
    timings.clear();
    return summary.toString();
  }
}
