package org.ploverspindle.model;

import org.ploverspindle.settings.Settings;

/**
 * The times that the safety argument rests on (docs/safety.md), all on this process's steady clock.
 *
 * @param stateLeaseMs time to live of a lease in the state service that is not renewed
 * @param heartbeatGraceMs how long after its last successful read of the state a leader may go on
 *     answering heartbeats, each of which renews a worker's lease
 * @param agentLeaseMs a worker that was not answered for this long has certainly lost its lease,
 *     and has ended its tasks
 */
public record SafetyTiming(long stateLeaseMs, long heartbeatGraceMs, long agentLeaseMs) {
  /**
   * Bound on the ratio of two clocks' rates. Clocks may drift apart by 0.05 %; this allows for four
   * times as much.
   */
  private static final double MAX_CLOCK_RATE_RATIO = 1.002;

  /** Seconds for late timers, and for a start or stop that is under way inside a machine. */
  private static final double CANCEL_MARGIN_S = 2.5;

  /** Seconds that a worker's lease is assumed to last beyond what it was granted. */
  private static final double AGENT_LEASE_MARGIN_S = 0.3;

  /** A controller that pauses for less than this keeps its lease, and so its leadership. */
  private static final long MIN_STATE_LEASE_MS = 2_500;

  private static final long MAX_STATE_LEASE_MS = 5_000;

  /** Added to the lease per core; a fraction of a core pauses for correspondingly longer. */
  private static final double STATE_LEASE_ONE_CORE_ADDITION_MS = 250;

  /** A lease in the state service is assumed to expire this much early. */
  private static final long STATE_LEASE_MARGIN_MS = 50;

  private static final long TAKEOVER_MARGIN_MS = 300;

  /**
   * The times for these limits of the workers. The lease in the state service is as short as the
   * processor allows, since nothing starts until a dead leader's lease expires; but the pauses of a
   * slow processor must not cost a healthy leader its lease.
   *
   * @param cores processor cores that this controller has, possibly a fraction of one
   */
  public static SafetyTiming of(Settings.WorkerLimits workerLimits, double cores) {
    double agentLeaseS = workerLimits.leaseS() * MAX_CLOCK_RATE_RATIO + AGENT_LEASE_MARGIN_S;
    // A cancellation that is accepted right after the leader's last read of the state is unknown to
    // the leader, whose last answer renews a worker's lease once more. Grace and lease together
    // must
    // end before cancel_s is over.
    double graceS =
        Math.max(
            0, (workerLimits.cancelS() - CANCEL_MARGIN_S) / MAX_CLOCK_RATE_RATIO - agentLeaseS);
    long stateLeaseMs =
        Math.min(
            MAX_STATE_LEASE_MS,
            MIN_STATE_LEASE_MS + Math.round(STATE_LEASE_ONE_CORE_ADDITION_MS / cores));
    return new SafetyTiming(
        stateLeaseMs, Math.round(graceS * 1000), Math.round(agentLeaseS * 1000));
  }

  /** How long a lease is certainly valid, counted from the send of its last answered renewal. */
  public long stateLeaseValidMs() {
    return Math.round(stateLeaseMs / MAX_CLOCK_RATE_RATIO) - STATE_LEASE_MARGIN_MS;
  }

  /**
   * How long after the begin of its term a leader must assume that answers of an earlier leader
   * keep workers' leases alive.
   */
  public long takeoverSilenceMs() {
    return Math.round((heartbeatGraceMs + agentLeaseMs) * MAX_CLOCK_RATE_RATIO)
        + TAKEOVER_MARGIN_MS;
  }
}
