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
import org.ploverspindle.placement.MachineGroup;
import org.ploverspindle.placement.Placer;
import org.ploverspindle.placement.RuntimeEstimates;
import org.ploverspindle.placement.ScaleOutPlanner;

/** Tells rentals what the leader's work needs: what to rent, and what may go back. */
final class ScaleOutDemand implements Autoscaler.Workload {
  /** A machine that was silent for longer does not count as room. */
  private static final long SILENCE_MS = 60_000;

  private final Scheduler scheduler;
  private final Catalogue catalogue;
  private final MachineRegistry fleet;
  private final JobTable jobs;
  private final RuntimeEstimates estimates;
  private final ArrivalForecast forecast;
  private final JobArrivals arrivals;
  private final Supplier<ScaleOutPlanner> demands;
  private final Placer placer;
  private final TaskProgress progress;
  private final LeaderConnectivity reachability;
  private final BooleanSupplier mayDecide;

  /**
   * @param demands a fresh calculation for each scan
   * @param mayDecide whether this leader is sure of its lead
   */
  ScaleOutDemand(
      Scheduler scheduler,
      Catalogue catalogue,
      MachineRegistry fleet,
      JobTable jobs,
      RuntimeEstimates estimates,
      ArrivalForecast forecast,
      JobArrivals arrivals,
      Supplier<ScaleOutPlanner> demands,
      Placer placer,
      TaskProgress progress,
      LeaderConnectivity reachability,
      BooleanSupplier mayDecide) {
    this.scheduler = scheduler;
    this.catalogue = catalogue;
    this.fleet = fleet;
    this.jobs = jobs;
    this.estimates = estimates;
    this.forecast = forecast;
    this.arrivals = arrivals;
    this.demands = demands;
    this.placer = placer;
    this.progress = progress;
    this.reachability = reachability;
    this.mayDecide = mayDecide;
  }

  @Override
  public List<ScaleOutPlanner.Request> scaleOutRequests(
      List<ScaleOutPlanner.Candidate> offers, List<MachineGroup> coming) {
    long nowMs = scheduler.nowMs();
    long wallMs = scheduler.wallMs();
    arrivals.update();
    List<Machine> usable =
        fleet.all().stream().filter(machine -> machine.isSchedulable(nowMs, SILENCE_MS)).toList();
    ScaleOutPlanner demand = demands.get();
    List<ScaleOutPlanner.Request> wanted =
        demand.plan(
            new ScaleOutPlanner.Work(
                placer.pendingJobs(nowMs, wallMs),
                jobs.all(),
                expected(),
                forecast.coresForRate(estimates, wallMs)),
            new ScaleOutPlanner.Supply(usable, coming, offers),
            nowMs,
            wallMs);
    retire(usable, demand);
    return wanted;
  }

  /**
   * Dear machines that nothing needs any more take no new work that could wait, so that they empty
   * and go back: a busy machine would otherwise stay for as long as any work waits.
   */
  private void retire(List<Machine> usable, ScaleOutPlanner demand) {
    List<Machine> dear = new ArrayList<>();
    for (Machine machine : usable) {
      machine.setScaleInCandidate(false);
      MachineType type = catalogue.type(machine.type());
      if (!machine.spot()
          && type.price(false) > type.price(true) * ScaleOutPlanner.EXPENSIVE_PRICE_RATIO) {
        dear.add(machine);
      }
    }
    dear.sort(Comparator.comparingLong(machine -> -machine.free().cores()));
    for (Machine machine : dear) {
      machine.setScaleInCandidate(demand.isExpensiveSurplus(machine));
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
    Optional<Job> next = expected();
    return next.isPresent() ? new SpareRoom(next.get()) : machine -> true;
  }

  private Optional<Job> expected() {
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
    return reachability.listeningSinceMs();
  }

  @Override
  public boolean isAuthoritative() {
    return mayDecide.getAsBoolean();
  }

  /** Asked of one machine after the other: may it go, and leave room for the next pressing job? */
  private final class SpareRoom implements Predicate<Machine> {
    private final Job next;

    /** Tasks of that job that still fit, beyond all of its own, on the machines that stay. */
    private long beyond;

    SpareRoom(Job next) {
      this.next = next;
      long fitting = 0;
      for (Machine machine : fleet.all()) {
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
      return machine.isSchedulable(scheduler.nowMs(), SILENCE_MS) && Placer.allows(next, machine)
          ? machine.free().times(next.perTask())
          : 0;
    }
  }
}
