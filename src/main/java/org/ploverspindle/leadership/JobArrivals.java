package org.ploverspindle.leadership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.placement.ArrivalForecast;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.JobRecord;

/**
 * Notes jobs as they begin to wait for room, for the forecast of work, and has what jobs inherit
 * from those that depend on them brought up to date before something is decided by it.
 */
final class JobArrivals {
  /** What came longer ago, under earlier leaders, says nothing about the rate of work now. */
  private static final long FORECAST_WINDOW_MS = 120_000;

  private final Scheduler scheduler;
  private final Pipelines pipelines;
  private final PriorityInheritance inheritance;
  private final ArrivalForecast forecast;
  private final TeamUsage teams;
  private final List<Job> becameReady = new ArrayList<>();

  JobArrivals(
      Scheduler scheduler,
      Pipelines pipelines,
      PriorityInheritance inheritance,
      ArrivalForecast forecast,
      TeamUsage teams) {
    this.scheduler = scheduler;
    this.pipelines = pipelines;
    this.inheritance = inheritance;
    this.forecast = forecast;
    this.teams = teams;
  }

  /** What came under earlier leaders tells how much will come under this one. */
  void loadRecentArrivals(AcceptedJobIndex acceptedJobs) {
    acceptedJobs.uids().stream()
        .flatMap(uid -> acceptedJobs.get(uid).stream())
        .sorted(Comparator.comparingLong(accepted -> JobRecord.acceptedWallMs(accepted.value())))
        .forEach(this::recordEarlierArrival);
  }

  private void recordEarlierArrival(AcceptedJobIndex.AcceptedJob accepted) {
    if (pipelines.graph().awaitsOthers(accepted.uid())) {
      // It came when it became ready, which nobody has recorded.
      return;
    }
    long wallMs = JobRecord.acceptedWallMs(accepted.value());
    forecast.recordSubmission(wallMs);
    if (scheduler.wallMs() - wallMs < FORECAST_WINDOW_MS) {
      JobRecord.decode(accepted.uid(), accepted.value())
          .ifPresent(
              record ->
                  forecast.recordWork(
                      record.spec(), record.spec().deadlineS(), record.acceptedWallMs()));
    }
  }

  /** From when on the job counts as waiting for room: all its dependencies are done. */
  void markReady(Job job) {
    job.markReady(pipelines.readyWallMs(job.uid()).orElse(job.acceptedWallMs()));
  }

  /**
   * A job became ready just now. It is looked at with the next update, as many may become ready at
   * once and all of them change what others inherit.
   */
  void becameReady(Job job) {
    markReady(job);
    becameReady.add(job);
    inheritance.changed();
  }

  /** A job with dependencies came, or will never run. */
  void dependenciesChanged() {
    inheritance.changed();
  }

  /** Brings what jobs inherit up to date, and takes in all that became ready since. */
  void update() {
    inheritance.update(scheduler.nowMs());
    becameReady.forEach(this::recordArrival);
    becameReady.clear();
  }

  /** A job begins to wait for room. */
  void recordArrival(Job job) {
    if (pipelines.graph().awaitsOthers(job.uid())) {
      forecast.recordReady(job.eligibleSinceWallMs());
    } else {
      forecast.recordSubmission(job.eligibleSinceWallMs());
    }
    forecast.recordWork(job.spec(), job.deadlineS(), job.eligibleSinceWallMs());
    if (isHighPriority(job)) {
      forecast.recordHighPriority(job);
    }
  }

  private boolean isHighPriority(Job job) {
    if (job.priority().compareTo(Priority.HIGH) <= 0) {
      return true;
    }
    int tasks = job.spec().tasks();
    Resources perTask = job.perTask();
    Resources whole = new Resources(perTask.cores() * tasks, perTask.accelerators() * tasks, 0);
    return teams.guarantees(job.team(), whole) && job.deadlineS().isEmpty();
  }
}
