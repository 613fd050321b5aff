package org.ploverspindle.leadership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.placement.ArrivalForecast;
import org.ploverspindle.placement.RuntimeEstimates;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.JobRecord;

/**
 * Records jobs in the arrival forecast when they become eligible for placement, and provides what
 * the forecast expects. Updates inherited priorities and deadlines before decisions that use them.
 */
final class JobArrivals {
  /**
   * Work that was accepted longer than this before the term began says nothing about the current
   * rate of arriving work.
   */
  private static final long FORECAST_WINDOW_MS = 120_000;

  private final Scheduler scheduler;
  private final Pipelines pipelines;
  private final PriorityInheritance inheritance;
  private final ArrivalForecast forecast;
  private final RuntimeEstimates estimates;
  private final TeamUsage teams;
  private final List<Job> newlyReady = new ArrayList<>();

  JobArrivals(
      Scheduler scheduler,
      Pipelines pipelines,
      PriorityInheritance inheritance,
      ArrivalForecast forecast,
      RuntimeEstimates estimates,
      TeamUsage teams) {
    this.scheduler = scheduler;
    this.pipelines = pipelines;
    this.inheritance = inheritance;
    this.forecast = forecast;
    this.estimates = estimates;
    this.teams = teams;
  }

  /** Records in the forecast the jobs that were accepted before this term. */
  void loadRecentArrivals(AcceptedJobIndex acceptedJobs) {
    // A job that becomes ready by its dependencies arrives then, and that time is not recorded.
    List<AcceptedJobIndex.AcceptedJob> submitted =
        acceptedJobs.uids().stream()
            .filter(uid -> !pipelines.graph().hasDependencies(uid))
            .flatMap(uid -> acceptedJobs.get(uid).stream())
            .toList();
    Stream.concat(
            acceptedJobs.recentPackedTimesMs().stream(),
            submitted.stream().map(job -> JobRecord.acceptedWallMs(job.value())))
        .sorted()
        .forEach(forecast::recordSubmission);
    submitted.stream()
        .sorted(Comparator.comparingLong(job -> JobRecord.acceptedWallMs(job.value())))
        .forEach(this::recordWorkIfRecent);
  }

  private void recordWorkIfRecent(AcceptedJobIndex.AcceptedJob accepted) {
    long wallMs = JobRecord.acceptedWallMs(accepted.value());
    if (scheduler.wallMs() - wallMs < FORECAST_WINDOW_MS) {
      JobRecord.decode(accepted.uid(), accepted.value()).ifPresent(this::recordWorkBeforeTerm);
    }
  }

  private void recordWorkBeforeTerm(JobRecord record) {
    forecast.recordWork(record.spec(), record.spec().deadlineS(), record.acceptedWallMs());
  }

  /**
   * Makes the job eligible for placement, counted from the time at which its dependencies were
   * done, or from its acceptance if that time is not known.
   */
  void markEligible(Job job) {
    job.markEligible(pipelines.readyWallMs(job.uid()).orElse(job.acceptedWallMs()));
  }

  /**
   * Handles a job whose dependencies have just been done. The next {@link #update} records it in
   * the forecast: many jobs may become ready at once, and each of them changes what others inherit.
   */
  void becameReady(Job job) {
    markEligible(job);
    newlyReady.add(job);
    inheritance.changed();
  }

  /** Handles the acceptance or abortion of a job with dependencies. */
  void dependenciesChanged() {
    inheritance.changed();
  }

  /**
   * Updates inherited priorities and deadlines, then records in the forecast the jobs that became
   * ready since the last call.
   */
  void update() {
    inheritance.update(scheduler.nowMs());
    newlyReady.forEach(this::recordArrival);
    newlyReady.clear();
  }

  /** Records in the forecast a job that has just become eligible for placement. */
  void recordArrival(Job job) {
    if (pipelines.graph().hasDependencies(job.uid())) {
      forecast.recordReady(job.eligibleSinceWallMs());
    } else {
      forecast.recordSubmission(job.eligibleSinceWallMs());
    }
    forecast.recordWork(job.spec(), job.deadlineS(), job.eligibleSinceWallMs());
    if (needsCapacityAtOnce(job)) {
      forecast.recordHighPriority(job);
    }
  }

  /**
   * Whether the job needs capacity without delay: it has high priority, or it is covered by its
   * team's guarantee and has no deadline that would leave time to provide the capacity.
   */
  private boolean needsCapacityAtOnce(Job job) {
    if (job.priority().compareTo(Priority.HIGH) <= 0) {
      return true;
    }
    int tasks = job.spec().tasks();
    Resources perTask = job.perTask();
    Resources allTasks = new Resources(perTask.cores() * tasks, perTask.accelerators() * tasks, 0);
    return teams.guaranteeCovers(job.team(), allTasks) && job.deadlineS().isEmpty();
  }

  /**
   * A typical recent high-priority job, for which capacity is kept free. Empty if jobs no longer
   * arrive or too few high-priority jobs have arrived.
   */
  Optional<Job> expectedHighPriorityJob() {
    return forecast.arrivalsStopped(scheduler.wallMs())
        ? Optional.empty()
        : forecast.typicalHighPriorityJob();
  }

  /** How many cores, in thousandths, are kept busy by work that arrives at the recent rate. */
  double coresForArrivalRate(long wallMs) {
    return forecast.coresForArrivalRate(estimates, wallMs);
  }

  /** Whether users have stopped submitting jobs. */
  boolean submissionsStopped() {
    return forecast.submissionsStopped(scheduler.wallMs());
  }
}
