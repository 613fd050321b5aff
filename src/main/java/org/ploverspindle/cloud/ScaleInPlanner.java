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

/** Selects the machines to terminate in each scale-in round, and begins their terminations. */
final class ScaleInPlanner {
  /**
   * In a large fleet, one round may select as many machines as the size of the fleet divided by
   * this number. Several requests to the cloud then terminate them.
   */
  private static final int FLEET_MACHINES_PER_SELECTED_MACHINE = 20;

  /**
   * Longest time for which idle machines wait for spare write budget of the state service, counted
   * from the last round that selected an idle machine.
   */
  private static final long MAX_WAIT_FOR_WRITES_MS = 3_000;

  private final Scheduler scheduler;
  private final MachineRegistry fleet;
  private final UnusableMachines unusableMachines;
  private final IdleMachines idleMachines;
  private final MachineTerminations terminations;
  private final BooleanSupplier isAuthoritative;
  private long lastIdleTerminationMs;

  /**
   * @param isAuthoritative whether this leader's lease is certainly valid now
   */
  ScaleInPlanner(
      Scheduler scheduler,
      MachineRegistry fleet,
      UnusableMachines unusableMachines,
      IdleMachines idleMachines,
      MachineTerminations terminations,
      BooleanSupplier isAuthoritative) {
    this.scheduler = scheduler;
    this.fleet = fleet;
    this.unusableMachines = unusableMachines;
    this.idleMachines = idleMachines;
    this.terminations = terminations;
    this.isAuthoritative = isAuthoritative;
    this.lastIdleTerminationMs = scheduler.nowMs();
  }

  /**
   * Runs one scale-in round: begins the terminations of the selected machines, and advances all
   * terminations that have begun. Does nothing while this leader's lease is not certainly valid.
   */
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
            TerminationClient.MAX_MACHINES_PER_REQUEST,
            fleet.all().size() / FLEET_MACHINES_PER_SELECTED_MACHINE);
    Predicate<Machine> isIdle =
        mayTerminateIdle(nowMs) ? idleMachines.newRoundPredicate(nowMs) : machine -> false;
    FleetConnectivity connectivity = unusableMachines.connectivity(nowMs);
    List<Machine> selected = new ArrayList<>();
    for (Machine machine : fleet.all()) {
      if (selected.size() >= maxMachines) {
        break;
      }
      if (machine.isTerminating()) {
        continue;
      }
      if (unusableMachines.mustTerminate(machine, nowMs, connectivity)) {
        selected.add(machine);
      } else if (isIdle.test(machine)) {
        lastIdleTerminationMs = nowMs;
        selected.add(machine);
      }
    }
    return selected;
  }

  /**
   * Whether idle machines may be selected now. An idle machine can still get tasks, but not after
   * its termination has begun, since that is never revoked. Therefore the writes that record tasks
   * have precedence over idle machines, and no idle machine is selected while terminations stall.
   */
  private boolean mayTerminateIdle(long nowMs) {
    return !terminations.isStalled()
        && (terminations.hasSpareWrites()
            || nowMs - lastIdleTerminationMs >= MAX_WAIT_FOR_WRITES_MS);
  }
}
