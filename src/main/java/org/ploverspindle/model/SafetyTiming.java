package org.ploverspindle.model;

import org.ploverspindle.settings.Settings;

/**
 * The times that the safety argument rests on (docs/safety.md), all on this node's steady clock.
 *
 * @param stateLeaseMs how long a lease lives in the state service when it is not renewed
 * @param heartbeatGraceMs how long after it last knew the state a leader may go on answering
 *     reports
 * @param agentLeaseMs after this much silence a worker's lease has certainly run out
 */
public record SafetyTiming(long stateLeaseMs, long heartbeatGraceMs, long agentLeaseMs) {
  /** Clocks drift apart by at most 0.05 %; we allow for four times as much. */
  private static final double DRIFT = 1.002;

  /** For timers that fire late and for a start or stop on its way inside a machine. */
  private static final double MARGIN_S = 2.5;

  /** A controller that stands still for less than this keeps the lead. */
  private static final long SHORTEST_STATE_LEASE_MS = 2_500;

  private static final long LONGEST_STATE_LEASE_MS = 5_000;

  /** What is done in a moment by a whole core takes a small share of one so much longer. */
  private static final double STATE_LEASE_FOR_SHARE_MS = 250;

  /**
   * Until a dead leader's lease ends, nothing starts: it is as short as the processor allows, whose
   * pauses must not change the lead.
   */
  public static SafetyTiming of(Settings.WorkerLimits workers, double cores) {
    double lease = workers.leaseS() * DRIFT + 0.3;
    // A cancellation told right after the leader last read the state is unknown to it; its last
    // answer renews a lease once more. All of that must end before cancel_s.
    double answer = Math.max(0, (workers.cancelS() - MARGIN_S) / DRIFT - lease);
    long stateLeaseMs =
        Math.min(
            LONGEST_STATE_LEASE_MS,
            SHORTEST_STATE_LEASE_MS + Math.round(STATE_LEASE_FOR_SHARE_MS / cores));
    return new SafetyTiming(stateLeaseMs, Math.round(answer * 1000), Math.round(lease * 1000));
  }

  /** From the send of the last answered renewal on, the lease lives at least this long. */
  public long stateLeaseValidMs() {
    return Math.round(stateLeaseMs / DRIFT) - 50;
  }

  /** After this long in a term no earlier leader's answers keep any lease alive. */
  public long takeoverSilenceMs() {
    return Math.round((heartbeatGraceMs + agentLeaseMs) * DRIFT) + 300;
  }
}
