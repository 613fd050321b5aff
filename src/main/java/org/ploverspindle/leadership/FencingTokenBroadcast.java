package org.ploverspindle.leadership;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;

/**
 * Tells machines that have not reported to this leader that there is a new token, a few at a time.
 *
 * <p>The failure it is there for: an earlier leader that has lost the state service and this
 * leader, but not its workers, goes on answering them, and would keep the fleet for as long as it
 * may answer without knowing the state. The first report that shows it the higher token ends that.
 */
final class FencingTokenBroadcast {
  private static final long PERIOD_MS = 600;

  /** Until then most machines find the new leader by themselves. */
  private static final long FIRST_AFTER_MS = 2_400;

  /** A machine that has still not reported is told again after this. */
  private static final long REPEAT_MS = 6_000;

  private static final int MOST_AT_ONCE = 8;

  private final Scheduler scheduler;
  private final Term term;
  private final SafetyTiming timing;
  private final MachineRegistry fleet;
  private final DirectCommandSender commands;
  private final BooleanSupplier mayDecide;
  private final Map<String, Long> announcedMs = new HashMap<>();

  FencingTokenBroadcast(
      Scheduler scheduler,
      Term term,
      SafetyTiming timing,
      MachineRegistry fleet,
      DirectCommandSender commands,
      BooleanSupplier mayDecide) {
    this.scheduler = scheduler;
    this.term = term;
    this.timing = timing;
    this.fleet = fleet;
    this.commands = commands;
    this.mayDecide = mayDecide;
  }

  /** Announces again and again until cancelled. */
  Cancellable start() {
    return scheduler.every(PERIOD_MS, this::announce);
  }

  private void announce() {
    long nowMs = scheduler.nowMs();
    long ageMs = nowMs - term.startMs();
    // No earlier leader answers any more once it has not known the state for so long.
    if (!mayDecide.getAsBoolean() || ageMs < FIRST_AFTER_MS || ageMs > timing.heartbeatGraceMs()) {
      return;
    }
    int left = MOST_AT_ONCE;
    for (Machine machine : fleet.all()) {
      if (left == 0 || !commands.hasRoom()) {
        return;
      }
      long tenure = machine.lastKnownAgentEpoch();
      if (isSilent(machine) && tenure > 0 && isDue(machine, nowMs)) {
        announcedMs.put(machine.host(), nowMs);
        commands.announceToken(machine, tenure);
        left--;
      }
    }
  }

  private static boolean isSilent(Machine machine) {
    return !machine.isUp() && !machine.isDecommissioning() && !machine.address().isEmpty();
  }

  private boolean isDue(Machine machine, long nowMs) {
    Long lastMs = announcedMs.get(machine.host());
    return lastMs == null || nowMs - lastMs > REPEAT_MS;
  }
}
