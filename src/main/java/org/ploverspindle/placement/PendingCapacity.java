package org.ploverspindle.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.Resources;

/**
 * The capacity of machines that are booting or requested. Pending tasks are assigned to it before
 * further machines are requested for them.
 */
final class PendingCapacity {
  private static final class PendingMachine {
    private final MachineGroup group;
    private Resources free;

    PendingMachine(MachineGroup group, Resources free) {
      this.group = group;
      this.free = free;
    }

    /** Reserves capacity for at most this many of the job's tasks; returns how many fit. */
    int reserve(Job job, int tasks) {
      int fitting = Math.min(tasks, free.capacityFor(job.perTask()));
      for (int i = 0; i < fitting; i++) {
        free = free.minus(job.perTask());
      }
      return fitting;
    }
  }

  private final Catalogue catalogue;
  private final GroupSets groupSets;
  private final List<PendingMachine> machines = new ArrayList<>();

  PendingCapacity(Catalogue catalogue, GroupSets groupSets) {
    this.catalogue = catalogue;
    this.groupSets = groupSets;
  }

  /** Adds an empty machine of the group. */
  void add(MachineGroup group) {
    machines.add(new PendingMachine(group, catalogue.type(group.type()).size()));
  }

  /**
   * Reserves capacity for at most this many of the job's tasks, on one machine after the other;
   * returns how many fit.
   */
  int reserve(Job job, int tasks) {
    int reserved = 0;
    for (PendingMachine machine : machines) {
      if (reserved >= tasks) {
        break;
      }
      if (Placer.allows(job, machine.group)) {
        reserved += machine.reserve(job, tasks - reserved);
      }
    }
    return reserved;
  }

  /**
   * Reserves capacity for at most this many of the job's tasks on the machine that was added last;
   * returns how many fit.
   */
  int reserveOnLast(Job job, int tasks) {
    return machines.get(machines.size() - 1).reserve(job, tasks);
  }

  /** True when the job's tasks may run on some machine, whether or not it has capacity left. */
  boolean isUsableBy(Job job) {
    return machines.stream().anyMatch(machine -> Placer.allows(job, machine.group));
  }

  /** Returns the cores of the machines in these groups, reserved or not, in thousandths. */
  double coresIn(BitSet groups) {
    double cores = 0;
    for (PendingMachine machine : machines) {
      if (groups.get(groupSets.index(machine.group))) {
        cores += catalogue.type(machine.group.type()).size().cores();
      }
    }
    return cores;
  }
}
