package org.ploverspindle.leadership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.ploverspindle.cloud.Autoscaler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.placement.ArrivalForecast;
import org.ploverspindle.placement.Placer;
import org.ploverspindle.placement.RuntimeEstimates;
import org.ploverspindle.placement.ScaleOutPlanner;

/** Tells rentals what the leader's work needs: what to rent, and what may go back. */
final class ScaleOutDemand implements Autoscaler.Workload {
  /** A machine that was silent for longer does not count as room. */
  private static final long MAX_HEARTBEAT_AGE_MS = 60_000;

  private final Scheduler scheduler;
  private final Catalogue catalogue;
  private final MachineRegistry machines;
  private final JobTable jobs;
  private final RuntimeEstimates estimates;
  private final ArrivalForecast forecast;
  private final JobArrivals arrivals;
  private final Supplier<ScaleOutPlanner> planners;
  private final Placer placer;
  private final TaskProgress progress;
  private final LeaderConnectivity connectivity;
  private final BooleanSupplier isAuthoritative;

  /**
   * @param planners a fresh calculation for each scan
   * @param isAuthoritative whether this leader is sure of its lead
   */
  ScaleOutDemand(
      Scheduler scheduler,
      Catalogue catalogue,
      MachineRegistry machines,
      JobTable jobs,
      RuntimeEstimates estimates,
      ArrivalForecast forecast,
      JobArrivals arrivals,
      Supplier<ScaleOutPlanner> planners,
      Placer placer,
      TaskProgress progress,
      LeaderConnectivity connectivity,
      BooleanSupplier isAuthoritative) {
    this.scheduler = scheduler;
    this.catalogue = catalogue;
    this.machines = machines;
    this.jobs = jobs;
    this.estimates = estimates;
    this.forecast = forecast;
    this.arrivals = arrivals;
    this.planners = planners;
    this.placer = placer;
    this.progress = progress;
    this.connectivity = connectivity;
    this.isAuthoritative = isAuthoritative;
  }

  @Override
  public List<ScaleOutPlanner.Request> scaleOutRequests(
      List<ScaleOutPlanner.Candidate> candidates, List<ScaleOutPlanner.PendingMachine> pending) {
    long nowMs = scheduler.nowMs();
    long wallMs = scheduler.wallMs();
    arrivals.update();
    List<Machine> usable =
        machines.all().stream()
            .filter(machine -> machine.isSchedulable(nowMs, MAX_HEARTBEAT_AGE_MS))
            .toList();
    ScaleOutPlanner planner = planners.get();
    List<ScaleOutPlanner.Request> requests =
        planner.plan(
            placer.pendingJobs(nowMs, wallMs),
            jobs.all(),
            usable,
            pending,
            candidates,
            expectedHighPriorityJob(),
            forecast.coresForRate(estimates, wallMs),
            nowMs,
            wallMs);
    markScaleInCandidates(usable, planner);
    return requests;
  }

  /**
   * Dear machines that nothing needs any more take no new work that could wait, so that they empty
   * and go back: a busy machine would otherwise stay for as long as any work waits.
   */
  private void markScaleInCandidates(List<Machine> usable, ScaleOutPlanner planner) {
    List<Machine> expensive = new ArrayList<>();
    for (Machine machine : usable) {
      machine.isScaleInCandidate(false);
      MachineType type = catalogue.type(machine.type());
      if (!machine.spot()
          && type.price(false) > type.price(true) * ScaleOutPlanner.EXPENSIVE_PRICE_RATIO) {
        expensive.add(machine);
      }
    }
    expensive.sort(Comparator.comparingLong(machine -> -machine.free().cores()));
    for (Machine machine : expensive) {
      machine.isScaleInCandidate(planner.isExpensiveSurplus(machine));
    }
  }

  @Override
  public Predicate<Machine> needed() {
    return placer.usefulMachines(scheduler.nowMs());
  }

  @Override
  public boolean isQuiet() {
    return forecast.submissionsStopped(scheduler.wallMs());
  }

  /** Without its room the next pressing job would wait for a machine to boot. */
  @Override
  public Predicate<Machine> surplus() {
    Optional<Job> next = expectedHighPriorityJob();
    return next.isPresent() ? new SpareRoom(next.get()) : machine -> true;
  }

  private Optional<Job> expectedHighPriorityJob() {
    return forecast.arrivalsStopped(scheduler.wallMs())
        ? Optional.empty()
        : forecast.typicalHighPriorityJob();
  }

  @Override
  public void lost(List<Placement> placements) {
    progress.lost(placements);
  }

  @Override
  public long listeningSinceMs() {
    return connectivity.listeningSinceMs();
  }

  @Override
  public boolean isAuthoritative() {
    return isAuthoritative.getAsBoolean();
  }

  /** Asked of one machine after the other: may it go, and leave room for the next pressing job? */
  private final class SpareRoom implements Predicate<Machine> {
    private final Job next;

    /** Tasks of that job that still fit, beyond all of its own, on the machines that stay. */
    private long beyond;

    SpareRoom(Job next) {
      this.next = next;
      long fitting = 0;
      for (Machine machine : machines.all()) {
        fitting += fitting(machine);
      }
      this.beyond = fitting - next.spec().tasks();
    }

    @Override
    public boolean test(Machine machine) {
      int here = fitting(machine);
      if (beyond < here) {
        return here == 0;
      }
      beyond -= here;
      return true;
    }

    private int fitting(Machine machine) {
      return machine.isSchedulable(scheduler.nowMs(), MAX_HEARTBEAT_AGE_MS)
              && Placer.allows(next, machine)
          ? machine.free().times(next.perTask())
          : 0;
    }
  }
}
