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
 * Plans which machines to request for pending tasks that do not fit on the existing ones. The tasks
 * are first assigned to machines that are booting or already requested. No more cores are requested
 * than finish the work in time, since cores become free as tasks end. Each planner makes one plan.
 */
public final class ScaleOutPlanner {
  /** A machine is expensive when its cores cost more than this many times the lowest price. */
  public static final double EXPENSIVE_PRICE_RATIO = 1.5;

  /**
   * A group that may grow now.
   *
   * @param maxMachines the largest number of machines that may be requested
   * @param machinesInZone the number of machines of the type, spot and on-demand, that exist or are
   *     requested in the zone
   * @param bootsLate whether the group's machines currently come up late or never
   */
  public record Candidate(
      MachineGroup group, int maxMachines, int machinesInZone, boolean bootsLate) {}

  /** A number of machines to be requested in a group. */
  public record Request(MachineGroup group, int count) {}

  /**
   * The work for which capacity is needed.
   *
   * @param pendingJobs the jobs with pending tasks, in the order in which they are served
   * @param allJobs all jobs, whether or not they have pending tasks
   * @param expectedJob a job that the next high-priority job is expected to resemble; capacity is
   *     kept for it
   * @param coresForArrivalRate the cores that work keeps busy if it continues to arrive at the
   *     recent rate, in thousandths
   */
  public record Work(
      List<Job> pendingJobs,
      Collection<Job> allJobs,
      Optional<Job> expectedJob,
      double coresForArrivalRate) {}

  /**
   * The capacity that exists, and the groups in which more may be requested.
   *
   * @param machines the machines that are up and accept tasks
   * @param pendingMachines for each machine that is booting or requested, its group
   * @param candidates the groups in which machines may be requested
   */
  public record Supply(
      List<Machine> machines, List<MachineGroup> pendingMachines, List<Candidate> candidates) {}

  private final Catalogue catalogue;
  private final CoreDemand demand;
  private final PendingCapacity pendingCapacity;
  private final CoreBalances balances;
  private final CandidateList candidates;

  /**
   * Cores of machines that exist, are pending, or are requested by this plan for pending jobs, in
   * thousandths.
   */
  private double totalCores;

  /**
   * @param drainS the time in seconds within which work that should not wait is to be done
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
    this.pendingCapacity = new PendingCapacity(catalogue, groupSets);
    this.balances = new CoreBalances(groupSets, demand, pendingCapacity);
    this.candidates = new CandidateList(catalogue);
  }

  /**
   * Returns the machines to request, in the order of the candidates.
   *
   * @param nowMs the time on the steady clock, in milliseconds
   * @param wallMs the wall-clock time, in milliseconds
   */
  public List<Request> plan(Work work, Supply supply, long nowMs, long wallMs) {
    List<Machine> machines = supply.machines();
    supply.candidates().forEach(candidates::add);
    for (Machine machine : machines) {
      totalCores += machine.size().cores();
    }
    for (MachineGroup group : supply.pendingMachines()) {
      pendingCapacity.add(group);
      totalCores += catalogue.type(group.type()).size().cores();
    }
    balances.compute(work.allJobs(), machines, work.coresForArrivalRate(), nowMs, wallMs);
    for (Job job : work.pendingJobs()) {
      requestForPendingTasks(job, machines, StarvationProtection.isStarving(job, wallMs), nowMs);
    }
    requestForArrivalRate(
        work.allJobs(),
        CoreBalances.coresKeptForArrivalRate(work.coresForArrivalRate()) - totalCores);
    work.expectedJob().ifPresent(job -> requestForExpectedJob(job, machines));
    return candidates.requests();
  }

  /**
   * True when, after the plan, the capacity without the machine is enough for what is needed even
   * at a high price. The machine then counts as removed in later calls.
   */
  public boolean removeIfSurplus(Machine machine) {
    return balances.removeIfSurplus(machine);
  }

  /**
   * Requests machines for the job's pending tasks.
   *
   * @param starving whether no task of the job has begun for a long time because other jobs take
   *     the machines that it may use. One machine is then requested for it even if the balance
   *     shows no shortage, unless that machine would be expensive.
   */
  private void requestForPendingTasks(
      Job job, List<Machine> machines, boolean starving, long nowMs) {
    int tasks = demand.startableTasks(job, nowMs);
    tasks -= pendingCapacity.reserve(job, tasks);
    Optional<CoreBalances.Balance> balance = balances.forJob(job);
    if (tasks <= 0 || balance.isEmpty()) {
      return;
    }
    boolean usableExists =
        machines.stream().anyMatch(machine -> Placer.allows(job, machine))
            || pendingCapacity.isUsableBy(job);
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

  /**
   * Returns the cheapest candidate. One whose machines come up late is returned only if there is no
   * other.
   */
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

  /** Requests one machine and reserves capacity on it for the job; returns for how many tasks. */
  private int request(CandidateList.Selection selection, Job job, int tasks) {
    MachineGroup group = selection.group();
    Resources size = catalogue.type(group.type()).size();
    selection.request(1);
    totalCores += size.cores();
    balances.add(group, size.cores());
    pendingCapacity.add(group);
    return pendingCapacity.reserveOnLast(job, tasks);
  }

  /**
   * Requests the cores that are missing for work that arrives at the recent rate, after machines
   * were lost or as more work arrives. Machines that are requested only once work is pending would
   * come up too late for it. The type of the machines is chosen for the latest job that counts
   * towards the rate.
   *
   * @param missingCores the missing cores, in thousandths
   */
  private void requestForArrivalRate(Collection<Job> jobs, double missingCores) {
    Optional<Job> latest =
        jobs.stream()
            .filter(job -> !job.isTerminal() && job.spec().kind() == JobKind.BATCH)
            .filter(
                job -> job.deadlineS().orElse(Double.MAX_VALUE) <= ArrivalForecast.EARLY_DEADLINE_S)
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

  /**
   * Requests machines so that there is capacity for the next high-priority job, as such a job
   * cannot wait for a machine to boot.
   */
  private void requestForExpectedJob(Job job, List<Machine> machines) {
    int tasks = job.spec().tasks();
    for (Machine machine : machines) {
      if (Placer.allows(job, machine)) {
        tasks -= machine.free().capacityFor(job.perTask());
      }
    }
    tasks -= pendingCapacity.reserve(job, tasks);
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
