package org.ploverspindle.eventloop;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** How long the decision loop was busy with each duty, for people who ask what a node does. */
public final class TaskTimings {
  private static final class Sum {
    private long nanos;
    private long most;
    private long runs;
  }

  private final Map<String, Sum> sums = new TreeMap<>();

  public void run(String duty, Runnable work) {
    long from = System.nanoTime();
    try {
      work.run();
    } finally {
      add(duty, System.nanoTime() - from);
    }
  }

  /** The same for work with a result. */
  public <T> T call(String duty, Supplier<T> work) {
    long from = System.nanoTime();
    try {
      return work.get();
    } finally {
      add(duty, System.nanoTime() - from);
    }
  }

  private void add(String duty, long took) {
    Sum sum = sums.computeIfAbsent(duty, d -> new Sum());
    sum.nanos += took;
    sum.most = Math.max(sum.most, took);
    sum.runs++;
  }

  /** Since the last call: each duty's milliseconds, its longest run, and how often it ran. */
  public String take() {
    StringBuilder text = new StringBuilder();
    sums.forEach(
        (duty, sum) ->
            text.append(text.isEmpty() ? "" : ", ")
                .append(duty)
                .append(' ')
                .append(sum.nanos / 1_000_000)
                .append(" ms in ")
                .append(sum.runs)
                .append(" (longest ")
                .append(sum.most / 1_000_000)
                .append(')'));
    sums.clear();
    return text.toString();
  }
}
