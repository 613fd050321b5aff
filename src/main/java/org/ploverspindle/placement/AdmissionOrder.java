package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Function;
import java.util.function.Predicate;
import org.ploverspindle.cluster.Job;

/**
 * Orders jobs so that as many as possible meet their deadlines when there is more work than
 * capacity. Serving jobs by their latest start alone would then start each of them slightly too
 * late. As in the Moore-Hodgson rule, jobs are admitted in the order of their latest start, and
 * whenever a job would be late, the admitted job with the most work is deferred. Deferred jobs are
 * served after the admitted ones, those with the least work first.
 */
final class AdmissionOrder {
  /**
   * The work ahead of a job counts at this fraction of its estimate: estimates may be wrong by
   * half, so a job counts as late only if even this much work would make it late.
   */
  private static final double WORK_AHEAD_FRACTION = 0.6;

  /** Seconds added to each job's slack before it is compared with the work ahead of the job. */
  private static final double SLACK_MARGIN_S = 6;

  /**
   * Another job is deferred in place of a late job only if it has at least this many times the late
   * job's work.
   */
  private static final double MIN_WORK_RATIO = 1.5;

  private final Function<Job, OptionalDouble> remainingSlackS;
  private final Capacity capacity;
  private final Map<Integer, Capacity> teamCapacity;
  private final RuntimeEstimates estimates;
  private final long nowMs;

  /**
   * @param remainingSlackS returns a job's slack in seconds, or empty if the job would be late even
   *     without competing jobs
   * @param capacity the capacity of all machines
   * @param teamCapacity for each team with a limit, the capacity within that limit
   */
  AdmissionOrder(
      Function<Job, OptionalDouble> remainingSlackS,
      Capacity capacity,
      Map<Integer, Capacity> teamCapacity,
      RuntimeEstimates estimates,
      long nowMs) {
    this.remainingSlackS = remainingSlackS;
    this.capacity = capacity;
    this.teamCapacity = teamCapacity;
    this.estimates = estimates;
    this.nowMs = nowMs;
  }

  /** Estimated work of the job's tasks that may start now, in thousandths of core seconds. */
  private double work(Job job) {
    return job.schedulableTasks(nowMs) * job.perTask().cores() * estimates.estimatedRuntimeS(job);
  }

  /**
   * Returns the same jobs in the order in which they are served: by priority, and within a priority
   * the admitted jobs before the deferred ones.
   *
   * @param byLatestStart the jobs by priority, and within a priority in the order in which they are
   *     considered for admission, which is by latest start
   */
  List<Job> order(List<Job> byLatestStart) {
    List<Job> result = new ArrayList<>(byLatestStart.size());
    WorkSums higherPriorityWork = new WorkSums();
    int start = 0;
    while (start < byLatestStart.size()) {
      int end = endOfPriority(byLatestStart, start);
      List<Job> samePriority = byLatestStart.subList(start, end);
      Admission admission = new Admission(new WorkSums(higherPriorityWork));
      samePriority.forEach(admission::add);
      result.addAll(admission.result());
      samePriority.forEach(higherPriorityWork::add);
      start = end;
    }
    return result;
  }

  private static int endOfPriority(List<Job> jobs, int start) {
    int end = start;
    while (end < jobs.size() && jobs.get(end).priority() == jobs.get(start).priority()) {
      end++;
    }
    return end;
  }

  /** The work of a set of jobs, in total and by team, in thousandths of core seconds. */
  private final class WorkSums {
    private double total;
    private final Map<Integer, Double> byTeam;

    WorkSums() {
      this.byTeam = new HashMap<>();
    }

    WorkSums(WorkSums other) {
      this.total = other.total;
      this.byTeam = new HashMap<>(other.byTeam);
    }

    void add(Job job) {
      total += work(job);
      byTeam.merge(job.team(), work(job), Double::sum);
    }

    void remove(Job job) {
      total -= work(job);
      byTeam.merge(job.team(), -work(job), Double::sum);
    }
  }

  /** Divides the jobs of one priority into admitted and deferred ones. */
  private final class Admission {
    /** The work of all jobs of higher priorities and of the jobs admitted so far. */
    private final WorkSums work;

    private final List<Job> admitted = new ArrayList<>();
    private final List<Job> deferred = new ArrayList<>();

    Admission(WorkSums work) {
      this.work = work;
    }

    /**
     * Admits the job, then defers admitted jobs until this job can be in time or is itself
     * deferred.
     */
    void add(Job job) {
      OptionalDouble slackS = remainingSlackS.apply(job);
      if (slackS.isEmpty()) {
        // The job is late even without competing jobs, so no other job is deferred for it.
        deferred.add(job);
        return;
      }
      admitted.add(job);
      work.add(job);
      double untilLatestStartS = Math.max(0, slackS.getAsDouble()) + SLACK_MARGIN_S;
      double fleetLimit = capacity.coreSecondsWithin(untilLatestStartS);
      double teamLimit =
          Optional.ofNullable(teamCapacity.get(job.team()))
              .map(limitedCapacity -> limitedCapacity.coreSecondsWithin(untilLatestStartS))
              .orElse(Double.MAX_VALUE);
      boolean stillAdmitted = true;
      while (stillAdmitted) {
        // The job's last tasks start at about the time when the work ahead of the job is done, so
        // its own work is left out of the comparison.
        boolean teamFull = exceeds(work.byTeam.get(job.team()), job, teamLimit);
        if (!teamFull && !exceeds(work.total, job, fleetLimit)) {
          return;
        }
        Job toDefer = jobToDefer(job, teamFull);
        defer(toDefer);
        stillAdmitted = toDefer != job;
      }
    }

    private boolean exceeds(double sum, Job job, double limit) {
      return (sum - work(job)) * WORK_AHEAD_FRACTION > limit;
    }

    /**
     * Returns the job to defer so that the given job can be in time: the admitted job with the most
     * work, or the given job if that has less than {@link #MIN_WORK_RATIO} times its work.
     *
     * @param sameTeam whether only jobs of the same team may be deferred, because the job is late
     *     on account of its team's limit
     */
    private Job jobToDefer(Job job, boolean sameTeam) {
      Predicate<Job> eligible = other -> !sameTeam || other.team() == job.team();
      Job largest =
          admitted.stream()
              .filter(eligible)
              .max(Comparator.comparingDouble(AdmissionOrder.this::work))
              .orElseThrow();
      return work(largest) < work(job) * MIN_WORK_RATIO ? job : largest;
    }

    private void defer(Job job) {
      admitted.remove(job);
      deferred.add(job);
      work.remove(job);
    }

    List<Job> result() {
      deferred.sort(Comparator.comparingDouble(AdmissionOrder.this::work).thenComparing(Job::uid));
      List<Job> result = new ArrayList<>(admitted);
      result.addAll(deferred);
      return result;
    }
  }
}
