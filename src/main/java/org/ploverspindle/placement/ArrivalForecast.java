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
 * high-priority jobs are. Times are wall-clock times, in milliseconds, of the controllers that
 * accepted the jobs. That is accurate enough for a rate, and nothing else depends on these times.
 */
public final class ArrivalForecast {
  /**
   * Only work whose deadline is at most this long after its arrival counts towards the rate. Other
   * work can wait until machines have booted for it.
   */
  static final double EARLY_DEADLINE_S = 240;

  private static final int ARRIVALS_KEPT = 24;
  private static final int HIGH_PRIORITY_KEPT = 12;

  /** With fewer recorded arrivals it is unknown whether arrivals have stopped. */
  private static final int MIN_ARRIVALS = 4;

  /** Arrivals have stopped when none has come for more than this many of their mean intervals. */
  private static final double MAX_PAUSE_INTERVALS = 7;

  /** A pause of at most this length never counts as the end of arrivals. */
  private static final long MIN_PAUSE_MS = 12_000;

  /** The rate of work is averaged over this time, which is about as long as a machine boots. */
  private static final long RATE_WINDOW_MS = 75_000;

  private static final double RATE_WINDOW_S = RATE_WINDOW_MS / 1_000.0;

  /** With fewer recorded high-priority jobs, no further one is expected. */
  private static final int MIN_HIGH_PRIORITY = 3;

  /**
   * The expected high-priority job is the one at three fifths of the recorded jobs by size, which
   * is somewhat larger than the median.
   */
  private static final int TYPICAL_RANK_NUMERATOR = 3;

  private static final int TYPICAL_RANK_DENOMINATOR = 5;

  private record ArrivedWork(long wallMs, String jobClass, double coreSeconds) {}

  private final Deque<ArrivedWork> recentWork = new ArrayDeque<>();

  /** When users submitted jobs that were ready to run at submission. */
  private final Deque<Long> submissions = new ArrayDeque<>();

  /** When jobs became ready to run: at submission, or when their dependencies were completed. */
  private final Deque<Long> arrivals = new ArrayDeque<>();

  private final Deque<Job> highPriorityJobs = new ArrayDeque<>();

  /** Records that a user submitted a job that was ready to run at submission. */
  public void recordSubmission(long wallMs) {
    addTime(submissions, wallMs);
    addTime(arrivals, wallMs);
  }

  /** Records that a job became ready to run because its dependencies were completed. */
  public void recordReady(long wallMs) {
    addTime(arrivals, wallMs);
  }

  private static void addTime(Deque<Long> times, long wallMs) {
    times.addLast(wallMs);
    if (times.size() > ARRIVALS_KEPT) {
      times.removeFirst();
    }
  }

  /**
   * Records the work of a job that became ready to run. Only batch jobs with an early deadline
   * count towards the rate.
   *
   * @param deadlineS the job's deadline in seconds from its arrival; empty if it has none
   */
  public void recordWork(JobSpec spec, OptionalDouble deadlineS, long wallMs) {
    if (spec.kind() == JobKind.BATCH && deadlineS.orElse(Double.MAX_VALUE) <= EARLY_DEADLINE_S) {
      double coreSeconds = spec.tasks() * spec.perTask().cores() * spec.expectedS();
      recentWork.addLast(new ArrivedWork(wallMs, spec.jobClass(), coreSeconds));
    }
  }

  /**
   * Returns the cores, in thousandths, that work keeps busy if it continues to arrive at the recent
   * rate. With fewer cores a backlog builds up, as a machine that is requested only once work is
   * pending comes up too late for that work.
   */
  public double coresForArrivalRate(RuntimeEstimates estimates, long wallMs) {
    recentWork.removeIf(work -> wallMs - work.wallMs() > RATE_WINDOW_MS);
    double sum = 0;
    for (ArrivedWork work : recentWork) {
      sum += work.coreSeconds() * estimates.ratio(work.jobClass());
    }
    return sum / RATE_WINDOW_S;
  }

  /**
   * Records a job that should start at once because it has a high priority or is covered by its
   * team's guarantee.
   */
  public void recordHighPriority(Job job) {
    highPriorityJobs.addLast(job);
    if (highPriorityJobs.size() > HIGH_PRIORITY_KEPT) {
      highPriorityJobs.removeFirst();
    }
  }

  /**
   * True when users have submitted jobs and have stopped doing so. Jobs with dependencies may still
   * become ready.
   */
  public boolean submissionsStopped(long wallMs) {
    return haveStopped(submissions, wallMs);
  }

  /**
   * True when jobs have become ready to run and no more do so, neither by submission nor by
   * completion of their dependencies.
   */
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
    return wallMs - last > Math.max(MIN_PAUSE_MS, MAX_PAUSE_INTERVALS * intervalMs);
  }

  /**
   * Returns a job of typical size among the last high-priority jobs, which the next one is expected
   * to resemble; empty if too few have been recorded.
   */
  public Optional<Job> typicalHighPriorityJob() {
    if (highPriorityJobs.size() < MIN_HIGH_PRIORITY) {
      return Optional.empty();
    }
    List<Job> bySize = new ArrayList<>(highPriorityJobs);
    bySize.sort(Comparator.comparingLong(job -> job.perTask().cores() * job.spec().tasks()));
    return Optional.of(
        bySize.get(bySize.size() * TYPICAL_RANK_NUMERATOR / TYPICAL_RANK_DENOMINATOR));
  }
}
