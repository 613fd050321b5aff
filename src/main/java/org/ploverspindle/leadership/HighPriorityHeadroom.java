package org.ploverspindle.leadership;

import java.util.Optional;
import java.util.function.Predicate;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.placement.Placer;

/**
 * Keeps enough free capacity for the next high-priority job, which would otherwise have to wait for
 * a machine to boot.
 */
final class HighPriorityHeadroom {
  /** A machine whose last heartbeat is older than this does not count as capacity. */
  static final long MAX_HEARTBEAT_AGE_MS = 60_000;

  private final Scheduler scheduler;
  private final MachineRegistry machines;
  private final JobArrivals arrivals;

  HighPriorityHeadroom(Scheduler scheduler, MachineRegistry machines, JobArrivals arrivals) {
    this.scheduler = scheduler;
    this.machines = machines;
    this.arrivals = arrivals;
  }

  /**
   * Returns a predicate to be tested on idle machines, one after the other. It accepts a machine if
   * the capacity for the next high-priority job remains without this machine and without those that
   * it accepted before.
   */
  Predicate<Machine> surplusMachines() {
    Optional<Job> expected = arrivals.expectedHighPriorityJob();
    return expected.isPresent() ? new SurplusPredicate(expected.get()) : machine -> true;
  }

  private int capacityFor(Job job, Machine machine) {
    return machine.isSchedulable(scheduler.nowMs(), MAX_HEARTBEAT_AGE_MS)
            && Placer.allows(job, machine)
        ? machine.free().capacityFor(job.perTask())
        : 0;
  }

  private final class SurplusPredicate implements Predicate<Machine> {
    private final Job expected;

    /**
     * How many tasks of the expected job's size would fit on the machines that are not accepted as
     * surplus, beyond the number of tasks that the job has; negative if the capacity is too small.
     */
    private long surplusTasks;

    SurplusPredicate(Job expected) {
      this.expected = expected;
      long capacity = 0;
      for (Machine machine : machines.all()) {
        capacity += capacityFor(expected, machine);
      }
      this.surplusTasks = capacity - expected.spec().tasks();
    }

    @Override
    public boolean test(Machine machine) {
      int tasks = capacityFor(expected, machine);
      if (surplusTasks < tasks) {
        return tasks == 0;
      }
      surplusTasks -= tasks;
      return true;
    }
  }
}
