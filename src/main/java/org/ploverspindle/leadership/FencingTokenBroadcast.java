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
 * Sends the new fencing token to machines that have sent no heartbeat to this leader, a few at a
 * time.
 *
 * <p>Prevents this failure: an earlier leader that has lost the state service and this leader, but
 * not its workers, goes on responding to their heartbeats, and would keep the machines for as long
 * as it may respond without a fresh replica. The first heartbeat with the higher token ends its
 * term.
 */
final class FencingTokenBroadcast {
  private static final long PERIOD_MS = 600;

  /** By then most machines have found the new leader by themselves. */
  private static final long START_AFTER_MS = 2_400;

  /** A machine that has still sent no heartbeat is sent the token again after this. */
  private static final long RESEND_MS = 6_000;

  private static final int MAX_PER_PERIOD = 8;

  private final Scheduler scheduler;
  private final Term term;
  private final SafetyTiming timing;
  private final MachineRegistry machines;
  private final DirectCommandSender commands;
  private final BooleanSupplier isAuthoritative;
  private final Map<String, Long> lastSentMs = new HashMap<>();

  FencingTokenBroadcast(
      Scheduler scheduler,
      Term term,
      SafetyTiming timing,
      MachineRegistry machines,
      DirectCommandSender commands,
      BooleanSupplier isAuthoritative) {
    this.scheduler = scheduler;
    this.term = term;
    this.timing = timing;
    this.machines = machines;
    this.commands = commands;
    this.isAuthoritative = isAuthoritative;
  }

  /** Broadcasts periodically until cancelled. */
  Cancellable start() {
    return scheduler.scheduleWithFixedDelay(PERIOD_MS, this::broadcast);
  }

  private void broadcast() {
    long nowMs = scheduler.nowMs();
    long termAgeMs = nowMs - term.startMs();
    // An earlier leader whose replica is older than that responds to no heartbeat any more.
    if (!isAuthoritative.getAsBoolean()
        || termAgeMs < START_AFTER_MS
        || termAgeMs > timing.heartbeatGraceMs()) {
      return;
    }
    int remaining = MAX_PER_PERIOD;
    for (Machine machine : machines.all()) {
      if (remaining == 0 || !commands.hasCapacity()) {
        return;
      }
      long agentEpoch = machine.lastKnownAgentEpoch();
      if (hasNotContactedThisLeader(machine) && agentEpoch > 0 && isDue(machine, nowMs)) {
        lastSentMs.put(machine.host(), nowMs);
        commands.sendFencingToken(machine, agentEpoch);
        remaining--;
      }
    }
  }

  private static boolean hasNotContactedThisLeader(Machine machine) {
    return !machine.isUp() && !machine.isDecommissioning() && !machine.address().isEmpty();
  }

  private boolean isDue(Machine machine, long nowMs) {
    Long lastMs = lastSentMs.get(machine.host());
    return lastMs == null || nowMs - lastMs > RESEND_MS;
  }
}
