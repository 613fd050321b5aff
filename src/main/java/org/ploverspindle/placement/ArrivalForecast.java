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
 * Statistics of recent arrivals: how often jobs arrive, how much work they bring, and how large
 * high-priority jobs are. Times are times of day of the controllers that accepted the jobs, which
 * is good enough for a rate; nothing else depends on them.
 */
public final class ArrivalForecast {
  /** Work whose deadline is later after its arrival need not find its machines running. */
  static final double SHORT_WINDOW_S = 240;

  private static final int ARRIVALS_KEPT = 24;
  private static final int HIGH_PRIORITY_KEPT = 12;

  /** With fewer arrivals it is unknown whether they have stopped. */
  private static final int MIN_ARRIVALS = 4;

  /** After so many mean intervals without one, no more arrivals are expected. */
  private static final double MAX_INTERVALS = 7;

  private static final long MIN_QUIET_MS = 12_000;

  /** The rate of work is taken over this time: about as long as a machine takes to boot. */
  private static final long RATE_WINDOW_MS = 75_000;

  private static final double RATE_WINDOW_S = RATE_WINDOW_MS / 1_000.0;

  /** With fewer high-priority jobs none is expected. */
  private static final int MIN_HIGH_PRIORITY = 3;

  /** The expected job is somewhat larger than the median: at three fifths of the jobs by size. */
  private static final int TYPICAL_NUMERATOR = 3;

  private static final int TYPICAL_DENOMINATOR = 5;

  private record ArrivedWork(long wallMs, String jobClass, double coreSeconds) {}

  private final Deque<ArrivedWork> recentWork = new ArrayDeque<>();

  /** When users submitted jobs that could run at once. */
  private final Deque<Long> submissions = new ArrayDeque<>();

  /** When jobs could run, submitted or with their dependencies done. */
  private final Deque<Long> arrivals = new ArrayDeque<>();

  private final Deque<Job> highPriorityJobs = new ArrayDeque<>();

  /** Records that a user submitted a job that could run at once. */
  public void recordSubmission(long wallMs) {
    keep(submissions, wallMs);
    keep(arrivals, wallMs);
  }

  /** Records that a job's dependencies were done, so that it could run. */
  public void recordReady(long wallMs) {
    keep(arrivals, wallMs);
  }

  private static void keep(Deque<Long> times, long wallMs) {
    times.addLast(wallMs);
    if (times.size() > ARRIVALS_KEPT) {
      times.removeFirst();
    }
  }

  /**
   * Records arrived work for the rate; only work with an early deadline counts.
   *
   * @param deadlineS seconds from its arrival
   */
  public void recordWork(JobSpec spec, OptionalDouble deadlineS, long wallMs) {
    if (spec.kind() == JobKind.BATCH && deadlineS.orElse(Double.MAX_VALUE) <= SHORT_WINDOW_S) {
      double coreSeconds = spec.tasks() * spec.perTask().cores() * spec.expectedS();
      recentWork.addLast(new ArrivedWork(wallMs, spec.jobClass(), coreSeconds));
    }
  }

  /**
   * Cores, in thousandths, that work keeps busy if it goes on to arrive at the present rate. With
   * fewer, work piles up: a machine that is requested when work is pending comes up too late for
   * it.
   */
  public double coresForRate(RuntimeEstimates estimates, long wallMs) {
    recentWork.removeIf(work -> wallMs - work.wallMs() > RATE_WINDOW_MS);
    double sum = 0;
    for (ArrivedWork work : recentWork) {
      sum += work.coreSeconds() * estimates.ratio(work.jobClass());
    }
    return sum / RATE_WINDOW_S;
  }

  /** Records a job that should start at once: of high priority, or covered by a guarantee. */
  public void recordHighPriority(Job job) {
    highPriorityJobs.addLast(job);
    if (highPriorityJobs.size() > HIGH_PRIORITY_KEPT) {
      highPriorityJobs.removeFirst();
    }
  }

  /** True when users submitted jobs before and have stopped; pipelines may still go on. */
  public boolean submissionsStopped(long wallMs) {
    return haveStopped(submissions, wallMs);
  }

  /** True when jobs could run before, and neither users nor pipelines bring any more. */
  public boolean arrivalsStopped(long wallMs) {
    return haveStopped(arrivals, wallMs);
  }

  private static boolean haveStopped(Deque<Long> times, long wallMs) {
    if (times.size() < MIN_ARRIVALS) {
      return false;
    }
    long first = times.stream().mapToLong(Long::longValue).min().orElseThrow();
    long last = times.stream().mapToLong(Long::longValue).max().orElseThrow();
    double intervalMs = (last - first) / (double) (times.size() - 1);
    return wallMs - last > Math.max(MIN_QUIET_MS, MAX_INTERVALS * intervalMs);
  }

  /** A typical one of the last high-priority jobs: the next one is expected to be like it. */
  public Optional<Job> typicalHighPriorityJob() {
    if (highPriorityJobs.size() < MIN_HIGH_PRIORITY) {
      return Optional.empty();
    }
    List<Job> bySize = new ArrayList<>(highPriorityJobs);
    bySize.sort(Comparator.comparingLong(job -> job.perTask().cores() * job.spec().tasks()));
    return Optional.of(bySize.get(bySize.size() * TYPICAL_NUMERATOR / TYPICAL_DENOMINATOR));
  }
}
