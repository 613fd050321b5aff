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
 * capacity. Serving by latest start alone would then start every job just too late. As in Moore and
 * Hodgson's rule, whenever a job in that order would be late, the one with the most work so far is
 * deferred. Deferred jobs are served after the others, the least work first.
 */
final class AdmissionOrder {
  /** Estimates may be wrong by half: a job is late only if it is by this part of the work. */
  private static final double CERTAINTY = 0.6;

  /** Added to each job's slack. */
  private static final double SLACK_MARGIN_S = 6;

  /** Another job is deferred in a job's place only if it has so many times its work. */
  private static final double MIN_WORK_RATIO = 1.5;

  private final Function<Job, OptionalDouble> remainingSlackS;
  private final Capacity capacity;
  private final Map<Integer, Capacity> teamCapacity;
  private final RuntimeEstimates estimates;
  private final long nowMs;

  /**
   * @param remainingSlackS a job's slack in seconds; empty when it cannot be in time even alone
   * @param capacity of all machines
   * @param teamCapacity of the teams with a limit, within it
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

  /** Core seconds of the job's tasks that may start now. */
  private double work(Job job) {
    return job.schedulableTasks(nowMs) * job.perTask().cores() * estimates.runS(job);
  }

  /**
   * The same jobs; within a priority, those that can be in time come first.
   *
   * @param byLatestStart by priority, and within it in the order of their latest start
   */
  List<Job> order(List<Job> byLatestStart) {
    List<Job> result = new ArrayList<>(byLatestStart.size());
    WorkSums before = new WorkSums();
    int from = 0;
    while (from < byLatestStart.size()) {
      int to = endOfPriority(byLatestStart, from);
      List<Job> samePriority = byLatestStart.subList(from, to);
      Admission admission = new Admission(new WorkSums(before));
      samePriority.forEach(admission::add);
      result.addAll(admission.result());
      samePriority.forEach(before::add);
      from = to;
    }
    return result;
  }

  private static int endOfPriority(List<Job> jobs, int from) {
    int to = from;
    while (to < jobs.size() && jobs.get(to).priority() == jobs.get(from).priority()) {
      to++;
    }
    return to;
  }

  /** The work of some jobs, in all and by team. */
  private final class WorkSums {
    private double all;
    private final Map<Integer, Double> byTeam;

    WorkSums() {
      this.byTeam = new HashMap<>();
    }

    WorkSums(WorkSums other) {
      this.all = other.all;
      this.byTeam = new HashMap<>(other.byTeam);
    }

    void add(Job job) {
      all += work(job);
      byTeam.merge(job.team(), work(job), Double::sum);
    }

    void remove(Job job) {
      all -= work(job);
      byTeam.merge(job.team(), -work(job), Double::sum);
    }
  }

  /** The admission of jobs of one priority. */
  private final class Admission {
    /** The work of higher priorities and of the admitted jobs. */
    private final WorkSums work;

    private final List<Job> admitted = new ArrayList<>();
    private final List<Job> deferred = new ArrayList<>();

    Admission(WorkSums work) {
      this.work = work;
    }

    /** Admits the job, and defers jobs until all admitted ones can be in time. */
    void add(Job job) {
      OptionalDouble slackS = remainingSlackS.apply(job);
      if (slackS.isEmpty()) {
        // It cannot be in time even alone: no other job should be deferred for it.
        deferred.add(job);
        return;
      }
      admitted.add(job);
      work.add(job);
      double withinS = Math.max(0, slackS.getAsDouble()) + SLACK_MARGIN_S;
      double fleetLimit = capacity.within(withinS);
      double teamLimit =
          Optional.ofNullable(teamCapacity.get(job.team()))
              .map(ofTeam -> ofTeam.within(withinS))
              .orElse(Double.MAX_VALUE);
      boolean stillAdmitted = true;
      while (stillAdmitted) {
        // A job's last tasks start about when the work before them is done.
        boolean teamFull = exceeds(work.byTeam.get(job.team()), job, teamLimit);
        if (!teamFull && !exceeds(work.all, job, fleetLimit)) {
          return;
        }
        Job toDefer = jobToDefer(job, teamFull);
        defer(toDefer);
        stillAdmitted = toDefer != job;
      }
    }

    private boolean exceeds(double sum, Job job, double limit) {
      return (sum - work(job)) * CERTAINTY > limit;
    }

    /** The admitted job with the most work, of the same team if that is at its limit. */
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
