package org.ploverspindle.leadership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
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
 * Records jobs in the arrival forecast as they become eligible for placement, says what the
 * forecast expects, and keeps priority inheritance up to date for what is decided by it.
 */
final class JobArrivals {
  /** Earlier arrivals, under earlier leaders, say nothing about the rate of work now. */
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

  /** Feeds the forecast with the arrivals under earlier leaders. */
  void loadRecentArrivals(AcceptedJobIndex acceptedJobs) {
    acceptedJobs.uids().stream()
        .flatMap(uid -> acceptedJobs.get(uid).stream())
        .sorted(Comparator.comparingLong(accepted -> JobRecord.acceptedWallMs(accepted.value())))
        .forEach(this::recordEarlierArrival);
  }

  private void recordEarlierArrival(AcceptedJobIndex.AcceptedJob accepted) {
    if (pipelines.graph().hasDependencies(accepted.uid())) {
      // It arrived when its dependencies were done, and that time is not recorded.
      return;
    }
    long wallMs = JobRecord.acceptedWallMs(accepted.value());
    forecast.recordSubmission(wallMs);
    if (scheduler.wallMs() - wallMs < FORECAST_WINDOW_MS) {
      JobRecord.decode(accepted.uid(), accepted.value()).ifPresent(this::recordEarlierWork);
    }
  }

  private void recordEarlierWork(JobRecord record) {
    forecast.recordWork(record.spec(), record.spec().deadlineS(), record.acceptedWallMs());
  }

  /** The job is eligible for placement from the time at which its dependencies were done. */
  void markReady(Job job) {
    job.markReady(pipelines.readyWallMs(job.uid()).orElse(job.acceptedWallMs()));
  }

  /**
   * The job's dependencies have just been done. It enters the forecast with the next {@link
   * #update}: many jobs may become ready at once, and each of them changes what others inherit.
   */
  void becameReady(Job job) {
    markReady(job);
    newlyReady.add(job);
    inheritance.changed();
  }

  /** A job with dependencies was accepted, or will never run. */
  void dependenciesChanged() {
    inheritance.changed();
  }

  /** Brings priority inheritance up to date, and records all jobs that became ready since. */
  void update() {
    inheritance.update(scheduler.nowMs());
    newlyReady.forEach(this::recordArrival);
    newlyReady.clear();
  }

  /** Records a job that has just become eligible for placement. */
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

  /** High priority, or covered by its team's guarantee without a deadline that gives it time. */
  private boolean needsCapacityAtOnce(Job job) {
    if (job.priority().compareTo(Priority.HIGH) <= 0) {
      return true;
    }
    int tasks = job.spec().tasks();
    Resources perTask = job.perTask();
    Resources whole = new Resources(perTask.cores() * tasks, perTask.accelerators() * tasks, 0);
    return teams.guarantees(job.team(), whole) && job.deadlineS().isEmpty();
  }

  /** The high-priority job for which capacity is kept free; empty once jobs no longer arrive. */
  Optional<Job> expectedHighPriorityJob() {
    return forecast.arrivalsStopped(scheduler.wallMs())
        ? Optional.empty()
        : forecast.typicalHighPriorityJob();
  }

  /** Thousandths of cores that the recent rate of arrivals keeps busy. */
  double coresForRate(long wallMs) {
    return forecast.coresForRate(estimates, wallMs);
  }

  /** Have users stopped submitting jobs? */
  boolean submissionsStopped() {
    return forecast.submissionsStopped(scheduler.wallMs());
  }
}
