package org.ploverspindle.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;

/**
 * What has come lately: how often jobs come, and how large the pressing ones are. Times are the
 * accepting nodes' times of day: good enough for a rate, and nothing else rests on them.
 */
public final class ArrivalForecast {
  private static final int KEPT = 24;
  private static final int PRESSING_KEPT = 12;

  /** After this many mean gaps without a job nobody is thought to come any more. */
  private static final double GAPS = 7;

  private static final long LEAST_QUIET_MS = 12_000;

  /** Over this long the rate is taken at which work comes: about as long as a machine takes. */
  private static final long RATE_WINDOW_MS = 75_000;

  /** Work that is due later than this after it came need not find its machines running. */
  static final double SHORT_WINDOW_S = 240;

  private record Came(long wallMs, String jobClass, double coreSeconds) {}

  private final Deque<Came> recent = new ArrayDeque<>();
  private final Deque<Long> submissions = new ArrayDeque<>();
  private final Deque<Long> starters = new ArrayDeque<>();
  private final Deque<Job> recordHighPriority = new ArrayDeque<>();

  /** A user submitted a job that could run at once. */
  public void recordSubmission(long wallMs) {
    keep(submissions, wallMs);
    keep(starters, wallMs);
  }

  /** A job that awaited others could run from then on. */
  public void recordReady(long wallMs) {
    keep(starters, wallMs);
  }

  private static void keep(Deque<Long> times, long wallMs) {
    times.addLast(wallMs);
    if (times.size() > KEPT) {
      times.removeFirst();
    }
  }

  /**
   * What came, for the rate of work; only what is due soon counts.
   *
   * @param dueS when it is due, in seconds from when it came
   */
  public void recordWork(JobSpec spec, OptionalDouble deadlineS, long wallMs) {
    if (spec.kind() == JobKind.BATCH && deadlineS.orElse(Double.MAX_VALUE) <= SHORT_WINDOW_S) {
      double coreSeconds = spec.tasks() * spec.perTask().cores() * spec.expectedS();
      recent.addLast(new Came(wallMs, spec.jobClass(), coreSeconds));
    }
  }

  /**
   * Cores, in thousandths, that would be busy for good if work went on to come as it has. Who has
   * less falls behind: a machine that is rented when work waits comes when it is too late for it.
   */
  public double coresForRate(RuntimeEstimates estimates, long wallMs) {
    recent.removeIf(c -> wallMs - c.wallMs() > RATE_WINDOW_MS);
    double sum = 0;
    for (Came c : recent) {
      sum += c.coreSeconds() * estimates.ratio(c.jobClass());
    }
    return sum / (RATE_WINDOW_MS / 1000.0);
  }

  /** A job that should start at once: of high urgency, or covered by a guarantee. */
  public void recordHighPriority(Job job) {
    recordHighPriority.addLast(job);
    if (recordHighPriority.size() > PRESSING_KEPT) {
      recordHighPriority.removeFirst();
    }
  }

  /** True when users submitted jobs before and have stopped; pipelines may still go on. */
  public boolean submissionsStopped(long wallMs) {
    return isOver(submissions, wallMs);
  }

  /** True when jobs that could run came before, and neither users nor pipelines bring any more. */
  public boolean arrivalsStopped(long wallMs) {
    return isOver(starters, wallMs);
  }

  private static boolean isOver(Deque<Long> times, long wallMs) {
    if (times.size() < 4) {
      return false;
    }
    long first = times.stream().mapToLong(Long::longValue).min().orElseThrow();
    long last = times.stream().mapToLong(Long::longValue).max().orElseThrow();
    double gapMs = (last - first) / (double) (times.size() - 1);
    return wallMs - last > Math.max(LEAST_QUIET_MS, GAPS * gapMs);
  }

  /** A pressing job of middling size among the last ones; the next is thought to be like it. */
  public Optional<Job> typicalHighPriorityJob() {
    if (recordHighPriority.size() < 3) {
      return Optional.empty();
    }
    List<Job> bySize = new ArrayList<>(recordHighPriority);
    bySize.sort(Comparator.comparingLong(j -> j.perTask().cores() * j.spec().tasks()));
    return Optional.of(bySize.get(bySize.size() * 3 / 5));
  }
}
