package org.ploverspindle.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.Resources;

/**
 * Plans which machines to request for pending tasks that fit nowhere. Machines that boot or are
 * requested are room for them first; and as many cores as finish the work in time are enough, since
 * tasks end and make room. A planner makes one plan.
 */
public final class ScaleOutPlanner {
  /** A machine whose core costs this much more than the cheapest counts as expensive. */
  public static final double EXPENSIVE_PRICE_RATIO = 1.5;

  /**
   * A group that may grow now.
   *
   * @param maxMachines how many machines may be requested
   * @param held machines of the type, of both kinds, that exist or are requested in the zone
   * @param bootsLate its machines come up late or never at present
   */
  public record Candidate(MachineGroup group, int maxMachines, int held, boolean bootsLate) {}

  /** So many machines of the group are to be requested. */
  public record Request(MachineGroup group, int count) {}

  /**
   * The work that capacity is needed for.
   *
   * @param pending jobs with pending tasks, in the order in which they are served
   * @param all all jobs
   * @param expected a job like the next high-priority one, for which room is kept
   * @param coresForRate what work that keeps arriving as it does keeps busy, in thousandths of
   *     cores
   */
  public record Work(
      List<Job> pending, Collection<Job> all, Optional<Job> expected, double coresForRate) {}

  /**
   * The capacity that exists, and where more may be requested.
   *
   * @param machines machines that are up and take tasks
   * @param pending machines that boot or are requested, each by its group
   */
  public record Supply(
      List<Machine> machines, List<MachineGroup> pending, List<Candidate> candidates) {}

  private final Catalogue catalogue;
  private final CoreDemand demand;
  private final PendingCapacity pending;
  private final CoreBalances balances;
  private final CandidateList candidates;

  /** Cores that exist, are pending or are requested by this plan, in thousandths. */
  private double cores;

  /**
   * @param drainS in how many seconds work that should not wait is to be done
   */
  public ScaleOutPlanner(
      Catalogue catalogue,
      TeamUsage teams,
      RuntimeEstimates estimates,
      ServiceLevelObjectives objectives,
      double drainS) {
    this.catalogue = catalogue;
    this.demand = new CoreDemand(teams, estimates, objectives, drainS);
    GroupSets groupSets = new GroupSets(catalogue);
    this.pending = new PendingCapacity(catalogue, groupSets);
    this.balances = new CoreBalances(groupSets, demand, pending);
    this.candidates = new CandidateList(catalogue);
  }

  /**
   * The machines to request, in the order of the candidates.
   *
   * @param nowMs on the steady clock
   * @param wallMs the time of day
   */
  public List<Request> plan(Work work, Supply supply, long nowMs, long wallMs) {
    List<Machine> machines = supply.machines();
    supply.candidates().forEach(candidates::add);
    for (Machine machine : machines) {
      cores += machine.size().cores();
    }
    for (MachineGroup group : supply.pending()) {
      pending.add(group);
      cores += catalogue.type(group.type()).size().cores();
    }
    balances.compute(work.all(), machines, work.coresForRate(), nowMs, wallMs);
    for (Job job : work.pending()) {
      serve(job, machines, StarvationProtection.isStarving(job, wallMs), nowMs);
    }
    keepRate(work.all(), CoreBalances.heldForRate(work.coresForRate()) - cores);
    work.expected().ifPresent(job -> keepRoom(job, machines));
    return candidates.requests();
  }

  /**
   * True when, after the plan, more capacity would be left without the machine than is needed even
   * at a high price. Such a machine counts as gone from then on.
   */
  public boolean isExpensiveSurplus(Machine machine) {
    return balances.removeIfSurplus(machine);
  }

  /**
   * Requests room for the job's pending tasks.
   *
   * @param starving the machines that it may use have been taken by others for long. Then it gets
   *     one machine whatever the balance says, if not an expensive one.
   */
  private void serve(Job job, List<Machine> machines, boolean starving, long nowMs) {
    int tasks = demand.startableTasks(job, nowMs);
    tasks -= pending.reserve(job, tasks);
    Optional<CoreBalances.Balance> balance = balances.of(job);
    if (tasks <= 0 || balance.isEmpty()) {
      return;
    }
    boolean usableExists =
        machines.stream().anyMatch(machine -> Placer.allows(job, machine))
            || pending.isUsableBy(job);
    boolean force = starving;
    while (tasks > 0 && (balance.get().isShort() || !usableExists || force)) {
      boolean atAnyPrice = !usableExists || balance.get().isShortAtAnyPrice();
      Optional<CandidateList.Selection> selection = select(job, tasks, atAnyPrice);
      if (selection.isEmpty()) {
        return;
      }
      tasks -= request(selection.get(), job, tasks);
      usableExists = true;
      force = false;
    }
  }

  /** The cheapest candidate; one whose machines come up late only where there is no other. */
  private Optional<CandidateList.Selection> select(Job job, int tasks, boolean atAnyPrice) {
    return candidates
        .cheapest(job, tasks, false)
        .filter(selection -> isAffordable(job, selection, atAnyPrice))
        .or(
            () ->
                candidates
                    .cheapest(job, tasks, true)
                    .filter(selection -> isAffordable(job, selection, atAnyPrice)));
  }

  private boolean isAffordable(Job job, CandidateList.Selection selection, boolean atAnyPrice) {
    return atAnyPrice || !candidates.isExpensive(job, selection.group());
  }

  /** Requests one machine and reserves its room for the job; returns for how many tasks. */
  private int request(CandidateList.Selection selection, Job job, int tasks) {
    MachineGroup group = selection.group();
    Resources size = catalogue.type(group.type()).size();
    selection.request(1);
    cores += size.cores();
    balances.add(group, size.cores());
    pending.add(group);
    return pending.reserveOnLast(job, tasks);
  }

  /**
   * Requests cores that are missing for work that arrives at the present rate, after machines were
   * lost or as more work arrives. Requested only once work is pending, they would be up too late
   * for it. Their type is chosen for the latest job that counts for the rate.
   */
  private void keepRate(Collection<Job> jobs, double missingCores) {
    Optional<Job> latest =
        jobs.stream()
            .filter(job -> !job.isTerminal() && job.spec().kind() == JobKind.BATCH)
            .filter(
                job -> job.deadlineS().orElse(Double.MAX_VALUE) <= ArrivalForecast.SHORT_WINDOW_S)
            .max(Comparator.comparingLong(Job::eligibleSinceWallMs).thenComparing(Job::uid));
    double missing = missingCores;
    while (latest.isPresent() && missing > 0) {
      Optional<CandidateList.Selection> selection =
          candidates.cheapest(latest.get(), Integer.MAX_VALUE, true);
      if (selection.isEmpty()) {
        return;
      }
      selection.get().request(1);
      missing -= catalogue.type(selection.get().group().type()).size().cores();
    }
  }

  /** A high-priority job cannot wait for a machine to boot: room is kept for the next one. */
  private void keepRoom(Job job, List<Machine> machines) {
    int tasks = job.spec().tasks();
    for (Machine machine : machines) {
      if (Placer.allows(job, machine)) {
        tasks -= machine.free().capacityFor(job.perTask());
      }
    }
    tasks -= pending.reserve(job, tasks);
    if (tasks <= 0) {
      return;
    }
    Optional<CandidateList.Selection> cheapest = candidates.cheapest(job, tasks, true);
    if (cheapest.isPresent()) {
      CandidateList.Selection selection = cheapest.get();
      int fitting = catalogue.type(selection.group().type()).size().capacityFor(job.perTask());
      selection.request(Math.min(selection.remaining(), (tasks + fitting - 1) / fitting));
    }
  }
}
