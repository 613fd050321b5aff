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

/** Looks again and again which machines go back, and has their returns carried out. */
final class ScaleInPlanner {
  /** Of a large fleet, one machine in so many may go in one look, by several requests. */
  private static final int PART_PER_LOOK = 20;

  /**
   * The return of idle machines waits for no longer than this for writes that nothing else needs.
   */
  private static final long LONGEST_WAIT_MS = 3_000;

  private final Scheduler scheduler;
  private final MachineRegistry fleet;
  private final UnusableMachines useless;
  private final IdleMachines idle;
  private final MachineTerminations returns;
  private final BooleanSupplier mayDecide;
  private long lastIdleReturnMs;

  /**
   * @param mayDecide whether this leader is sure of its lead
   */
  ScaleInPlanner(
      Scheduler scheduler,
      MachineRegistry fleet,
      UnusableMachines useless,
      IdleMachines idle,
      MachineTerminations returns,
      BooleanSupplier mayDecide) {
    this.scheduler = scheduler;
    this.fleet = fleet;
    this.useless = useless;
    this.idle = idle;
    this.returns = returns;
    this.mayDecide = mayDecide;
    this.lastIdleReturnMs = scheduler.nowMs();
  }

  /** Begins the returns that are due, and carries on with those that were begun. */
  void run() {
    if (!mayDecide.getAsBoolean()) {
      return;
    }
    returns.begin(select());
    returns.advance();
  }

  private List<Machine> select() {
    long nowMs = scheduler.nowMs();
    int most =
        Math.max(TerminationClient.MAX_HOSTS_PER_RELEASE, fleet.all().size() / PART_PER_LOOK);
    boolean idleMayGo = mayReturnIdle(nowMs);
    Predicate<Machine> isIdle = idleMayGo ? idle.look(nowMs) : machine -> false;
    FleetConnectivity hearing = useless.connectivity(nowMs);
    List<Machine> selected = new ArrayList<>();
    for (Machine machine : fleet.all()) {
      if (selected.size() >= most) {
        break;
      }
      if (machine.isTerminating()) {
        continue;
      }
      if (useless.test(machine, nowMs, hearing)) {
        selected.add(machine);
      } else if (isIdle.test(machine)) {
        lastIdleReturnMs = nowMs;
        selected.add(machine);
      }
    }
    return selected;
  }

  /**
   * An idle machine may still get work, which can't be taken back once its return has begun: so it
   * waits behind the writes of that work, and while returns do not come further.
   */
  private boolean mayReturnIdle(long nowMs) {
    return !returns.isStalled()
        && (returns.hasSpareWrites() || nowMs - lastIdleReturnMs >= LONGEST_WAIT_MS);
  }
}
