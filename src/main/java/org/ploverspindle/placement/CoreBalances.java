package org.ploverspindle.placement;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;

/**
 * The difference between the cores that are needed and the cores that exist or are requested, for
 * each set of groups that some job can use. The sets are balanced separately because cores of
 * machine types on which a task does not fit are of no use to it, however many there are.
 */
final class CoreBalances {
  /**
   * Work arrives unevenly, so this many times the cores that arriving work keeps busy on average
   * are kept for it.
   */
  private static final double RATE_HEADROOM = 1.3;

  /** Replaces {@link #RATE_HEADROOM} where only expensive machines are left to be requested. */
  private static final double EXPENSIVE_RATE_HEADROOM = 1.15;

  /** The balance of one set of groups, in thousandths of cores; a negative one is a surplus. */
  static final class Balance {
    private double shortfall;
    private double shortfallAtAnyPrice;

    /** True when more cores are needed than exist or are requested. */
    boolean isShort() {
      return shortfall > 0;
    }

    /**
     * True when more cores are needed than exist or are requested even if only expensive machines
     * are left to be requested.
     */
    boolean isShortAtAnyPrice() {
      return shortfallAtAnyPrice > 0;
    }
  }

  private final GroupSets groupSets;
  private final CoreDemand demand;
  private final PendingCapacity pendingCapacity;
  private final Map<BitSet, Balance> balances = new LinkedHashMap<>();

  CoreBalances(GroupSets groupSets, CoreDemand demand, PendingCapacity pendingCapacity) {
    this.groupSets = groupSets;
    this.demand = demand;
    this.pendingCapacity = pendingCapacity;
  }

  /**
   * Returns the cores that are kept for arriving work even if only expensive machines are left to
   * be requested, in thousandths.
   *
   * @param coresForArrivalRate the cores that arriving work keeps busy on average, in thousandths
   */
  static double coresKeptForArrivalRate(double coresForArrivalRate) {
    return coresForArrivalRate * EXPENSIVE_RATE_HEADROOM;
  }

  /**
   * Computes the balance of each set of groups that some job can use. It is the need of the jobs
   * that can use groups of this set only, less the cores in the set that exist or are pending and
   * are not taken by jobs that could also run outside of it.
   *
   * @param coresForArrivalRate the cores that work keeps busy if it continues to arrive at the
   *     recent rate, in thousandths
   */
  void compute(
      Collection<Job> jobs,
      List<Machine> machines,
      double coresForArrivalRate,
      long nowMs,
      long wallMs) {
    BitSet allGroups = groupSets.all();
    balances.put(allGroups, new Balance());
    Map<Job, BitSet> usableGroups = new HashMap<>();
    Map<Job, CoreDemand.Need> needs = new HashMap<>();
    Set<Job> guaranteed = demand.guaranteedJobs(jobs, nowMs);
    for (Job job : jobs) {
      BitSet groups = groupSets.usableBy(job);
      usableGroups.put(job, groups);
      if (!job.isTerminal() && !job.quarantined()) {
        balances.computeIfAbsent(groups, set -> new Balance());
        needs.put(job, demand.need(job, guaranteed.contains(job), nowMs, wallMs));
      }
    }
    balances.forEach(
        (groups, balance) -> {
          boolean isAllGroups = groups.equals(allGroups);
          addNeeds(balance, groups, needs, usableGroups);
          if (isAllGroups) {
            balance.shortfall = Math.max(balance.shortfall, coresForArrivalRate * RATE_HEADROOM);
            balance.shortfallAtAnyPrice =
                Math.max(balance.shortfallAtAnyPrice, coresKeptForArrivalRate(coresForArrivalRate));
          }
          double available = availableCores(groups, isAllGroups, machines, usableGroups);
          balance.shortfall -= available;
          balance.shortfallAtAnyPrice -= available;
        });
  }

  /** Adds the needs of the jobs that can use groups of this set only. */
  private static void addNeeds(
      Balance balance,
      BitSet groups,
      Map<Job, CoreDemand.Need> needs,
      Map<Job, BitSet> usableGroups) {
    for (Map.Entry<Job, CoreDemand.Need> entry : needs.entrySet()) {
      if (GroupSets.isSubset(usableGroups.get(entry.getKey()), groups)) {
        balance.shortfall += entry.getValue().cores();
        balance.shortfallAtAnyPrice += entry.getValue().coresAtAnyPrice();
      }
    }
  }

  private double availableCores(
      BitSet groups, boolean isAllGroups, List<Machine> machines, Map<Job, BitSet> usableGroups) {
    double cores = 0;
    for (Machine machine : machines) {
      if (groups.get(groupSets.index(machine.type(), machine.zone(), machine.isSpot()))) {
        cores += machine.size().cores();
        cores -= isAllGroups ? 0 : coresTakenByOthers(machine, groups, usableGroups);
      }
    }
    return cores + pendingCapacity.coresIn(groups);
  }

  /**
   * Returns the cores of the machine that are taken by tasks of jobs that could also run outside of
   * this set of groups, in thousandths.
   */
  private static double coresTakenByOthers(
      Machine machine, BitSet groups, Map<Job, BitSet> usableGroups) {
    double cores = 0;
    for (Placement placement : machine.placements()) {
      BitSet usableByJob = usableGroups.get(placement.job());
      if (usableByJob == null || !GroupSets.isSubset(usableByJob, groups)) {
        cores += placement.job().perTask().cores();
      }
    }
    return cores;
  }

  /**
   * Returns the balance of the set of groups that the job can use; empty if no unfinished job can
   * use exactly this set.
   */
  Optional<Balance> forJob(Job job) {
    return Optional.ofNullable(balances.get(groupSets.usableBy(job)));
  }

  /** Counts cores, in thousandths, as added to a group. */
  void add(MachineGroup group, double cores) {
    add(groupSets.index(group), cores);
  }

  private void add(int group, double cores) {
    balances.forEach(
        (groups, balance) -> {
          if (groups.get(group)) {
            balance.shortfall -= cores;
            balance.shortfallAtAnyPrice -= cores;
          }
        });
  }

  /**
   * Counts the machine as removed if enough cores remain without it, in each set of groups that it
   * belongs to, for what is needed even at a high price. Returns whether it was removed.
   */
  boolean removeIfSurplus(Machine machine) {
    int group = groupSets.index(machine.type(), machine.zone(), machine.isSpot());
    for (Map.Entry<BitSet, Balance> entry : balances.entrySet()) {
      if (entry.getKey().get(group)
          && -entry.getValue().shortfallAtAnyPrice < machine.size().cores()) {
        return false;
      }
    }
    add(group, -machine.size().cores());
    return true;
  }
}
