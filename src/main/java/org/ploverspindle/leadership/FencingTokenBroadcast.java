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
 * Sends the fencing token of this term to machines that have sent no heartbeat to this leader, a
 * few machines at a time.
 *
 * <p>This prevents the following failure. An earlier leader that reaches its workers but neither
 * the state service nor this leader goes on responding to their heartbeats. It would keep the
 * machines from this leader for as long as it may respond without a fresh replica. The first
 * heartbeat that shows the higher token ends its term.
 */
final class FencingTokenBroadcast {
  private static final long PERIOD_MS = 600;

  /**
   * The broadcast begins this long after the term did. By then most machines have sent a heartbeat
   * to the new leader without being contacted.
   */
  private static final long START_AFTER_MS = 2_400;

  /** After this time the token is sent again to a machine that has still sent no heartbeat. */
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

  /** Sends tokens periodically until the result is cancelled. */
  Cancellable start() {
    return scheduler.scheduleWithFixedDelay(PERIOD_MS, this::broadcast);
  }

  private void broadcast() {
    long nowMs = scheduler.nowMs();
    long termAgeMs = nowMs - term.startMs();
    // An earlier leader whose replica is older than the grace period responds to no heartbeats.
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
      long workerEpoch = machine.lastKnownWorkerEpoch();
      if (hasNotContactedThisLeader(machine) && workerEpoch > 0 && isDue(machine, nowMs)) {
        lastSentMs.put(machine.host(), nowMs);
        commands.sendFencingToken(machine, workerEpoch);
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
