package org.ploverspindle.cloud;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.scalein.MachineTerminations;
import org.ploverspindle.scalein.TerminationClient;

/** Selects the machines to terminate, round by round, and has their terminations carried out. */
final class ScaleInPlanner {
  /** In a large fleet, one of so many machines may go in one round, by several requests. */
  private static final int MACHINES_PER_TERMINATION = 20;

  /** Idle machines wait no longer than this for spare writes to the state service. */
  private static final long MAX_WAIT_FOR_WRITES_MS = 3_000;

  private final Scheduler scheduler;
  private final MachineRegistry fleet;
  private final UnusableMachines unusable;
  private final IdleMachines idle;
  private final MachineTerminations terminations;
  private final BooleanSupplier isAuthoritative;
  private long lastIdleTerminationMs;

  /**
   * @param isAuthoritative whether this leader's lease is certainly valid
   */
  ScaleInPlanner(
      Scheduler scheduler,
      MachineRegistry fleet,
      UnusableMachines unusable,
      IdleMachines idle,
      MachineTerminations terminations,
      BooleanSupplier isAuthoritative) {
    this.scheduler = scheduler;
    this.fleet = fleet;
    this.unusable = unusable;
    this.idle = idle;
    this.terminations = terminations;
    this.isAuthoritative = isAuthoritative;
    this.lastIdleTerminationMs = scheduler.nowMs();
  }

  /** Begins the terminations that are due, and advances those that were begun. */
  void run() {
    if (!isAuthoritative.getAsBoolean()) {
      return;
    }
    terminations.beginTermination(select());
    terminations.advance();
  }

  private List<Machine> select() {
    long nowMs = scheduler.nowMs();
    int maxMachines =
        Math.max(
            TerminationClient.MAX_HOSTS_PER_RELEASE, fleet.all().size() / MACHINES_PER_TERMINATION);
    Predicate<Machine> isIdle = mayTerminateIdle(nowMs) ? idle.newRound(nowMs) : machine -> false;
    FleetConnectivity connectivity = unusable.connectivity(nowMs);
    List<Machine> selected = new ArrayList<>();
    for (Machine machine : fleet.all()) {
      if (selected.size() >= maxMachines) {
        break;
      }
      if (machine.isTerminating()) {
        continue;
      }
      if (unusable.test(machine, nowMs, connectivity)) {
        selected.add(machine);
      } else if (isIdle.test(machine)) {
        lastIdleTerminationMs = nowMs;
        selected.add(machine);
      }
    }
    return selected;
  }

  /**
   * An idle machine may still get work, but not once its termination has begun, which is never
   * revoked. So idle machines wait behind the writes of that work, and while terminations stall.
   */
  private boolean mayTerminateIdle(long nowMs) {
    return !terminations.isStalled()
        && (terminations.hasSpareWrites()
            || nowMs - lastIdleTerminationMs >= MAX_WAIT_FOR_WRITES_MS);
  }
}
