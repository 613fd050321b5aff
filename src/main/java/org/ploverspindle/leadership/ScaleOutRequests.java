package org.ploverspindle.leadership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.placement.MachineGroup;
import org.ploverspindle.placement.Placer;
import org.ploverspindle.placement.ScaleOutPlanner;

/**
 * Determines which machines the leader's jobs need: which machines are to be requested, and which
 * of the existing ones are still of use.
 */
final class ScaleOutRequests {
  private final Scheduler scheduler;
  private final Catalogue catalogue;
  private final MachineRegistry machines;
  private final JobTable jobs;
  private final JobArrivals arrivals;
  private final Supplier<ScaleOutPlanner> plannerFactory;
  private final Placer placer;

  /**
   * @param plannerFactory creates the planner of each scan, as a planner makes only one plan
   */
  ScaleOutRequests(
      Scheduler scheduler,
      Catalogue catalogue,
      MachineRegistry machines,
      JobTable jobs,
      JobArrivals arrivals,
      Supplier<ScaleOutPlanner> plannerFactory,
      Placer placer) {
    this.scheduler = scheduler;
    this.catalogue = catalogue;
    this.machines = machines;
    this.jobs = jobs;
    this.arrivals = arrivals;
    this.plannerFactory = plannerFactory;
    this.placer = placer;
  }

  /**
   * Plans which machines to request, and marks expensive machines that the jobs no longer need.
   *
   * @param pending machines that are requested or booting
   */
  List<ScaleOutPlanner.Request> plan(
      List<ScaleOutPlanner.Candidate> candidates, List<MachineGroup> pending) {
    long nowMs = scheduler.nowMs();
    long wallMs = scheduler.wallMs();
    arrivals.update();
    List<Machine> usable =
        machines.all().stream()
            .filter(
                machine -> machine.isSchedulable(nowMs, HighPriorityHeadroom.MAX_HEARTBEAT_AGE_MS))
            .toList();
    ScaleOutPlanner planner = plannerFactory.get();
    List<ScaleOutPlanner.Request> requests =
        planner.plan(
            new ScaleOutPlanner.Work(
                placer.pendingJobs(nowMs, wallMs),
                jobs.all(),
                arrivals.expectedHighPriorityJob(),
                arrivals.coresForArrivalRate(wallMs)),
            new ScaleOutPlanner.Supply(usable, pending, candidates),
            nowMs,
            wallMs);
    markScaleInCandidates(usable, planner);
    return requests;
  }

  /**
   * Marks the expensive machines that no job needs any more. They get no tasks that can wait, so
   * that they become idle and are terminated. Otherwise they would be kept as long as any task is
   * pending.
   */
  private void markScaleInCandidates(List<Machine> usable, ScaleOutPlanner planner) {
    List<Machine> expensive = new ArrayList<>();
    for (Machine machine : usable) {
      machine.setScaleInCandidate(false);
      if (isExpensive(machine)) {
        expensive.add(machine);
      }
    }
    expensive.sort(Comparator.comparingLong(machine -> -machine.free().cores()));
    for (Machine machine : expensive) {
      machine.setScaleInCandidate(planner.removeIfSurplus(machine));
    }
  }

  private boolean isExpensive(Machine machine) {
    MachineType type = catalogue.type(machine.type());
    return !machine.isSpot()
        && type.price(false) > type.price(true) * ScaleOutPlanner.EXPENSIVE_PRICE_RATIO;
  }

  /** Returns a predicate that accepts machines on which a pending task could be placed. */
  Predicate<Machine> usefulMachines() {
    return placer.usefulMachines(scheduler.nowMs());
  }
}
