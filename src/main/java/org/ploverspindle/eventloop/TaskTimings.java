package org.ploverspindle.eventloop;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** How long the event loop was busy with each kind of task, for operators. */
public final class TaskTimings {
  private static final long NANOS_PER_MS = 1_000_000;

  private static final class Timing {
    private long totalNanos;
    private long longestNanos;
    private long runs;
  }

  /** By the task's name. */
  private final Map<String, Timing> timings = new TreeMap<>();

  /** Runs the work and records its time under the task's name, also if it throws. */
  public void run(String workName, Runnable work) {
    long startNanos = System.nanoTime();
    try {
      work.run();
    } finally {
      record(workName, System.nanoTime() - startNanos);
    }
  }

  /** The same for work with a result. */
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
   * What was recorded since the last call, in one line: for each task its total milliseconds, its
   * runs, and the milliseconds of its longest run.
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
