package org.ploverspindle.model;

import org.ploverspindle.settings.Settings;

/**
 * The durations on which the safety argument in docs/safety.md rests. All components are in
 * milliseconds, and are measured by this process's steady clock unless stated otherwise.
 *
 * @param stateLeaseMs time to live of a lease in the state service that is not renewed, as the
 *     state service measures it
 * @param heartbeatGraceMs how long a leader may respond to heartbeats after it last confirmed its
 *     leadership and read the state; each response renews a worker lease
 * @param workerLeaseMs the time without a response after which a worker's lease has certainly
 *     expired and the worker has stopped its tasks
 */
public record SafetyTiming(long stateLeaseMs, long heartbeatGraceMs, long workerLeaseMs) {
  /**
   * Upper bound of the ratio of the rates of two clocks. The rates may differ by 0.05 %; the bound
   * allows for four times as much.
   */
  private static final double MAX_CLOCK_RATE_RATIO = 1.002;

  /**
   * Part of cancel_s, in seconds, that is reserved for timers that fire late and for the start or
   * stop of a task that is already in progress on a machine.
   */
  private static final double CANCEL_MARGIN_S = 2.5;

  /** Time in seconds by which a worker lease is assumed to outlast its configured duration. */
  private static final double WORKER_LEASE_MARGIN_S = 0.3;

  /**
   * Lower bound of the time to live of a lease in the state service. A leader loses its leadership
   * if it pauses for longer than the rest of its lease, so this bounds the pauses that it survives.
   */
  private static final long MIN_STATE_LEASE_MS = 2_500;

  private static final long MAX_STATE_LEASE_MS = 5_000;

  /**
   * Time added to {@link #MIN_STATE_LEASE_MS} for a controller with one core. The addition is
   * inversely proportional to the number of cores, because a process that has only a fraction of a
   * core pauses for correspondingly longer.
   */
  private static final double STATE_LEASE_ONE_CORE_ADDITION_MS = 250;

  /** A lease in the state service is assumed to expire earlier than granted by this time. */
  private static final long STATE_LEASE_MARGIN_MS = 50;

  private static final long TAKEOVER_MARGIN_MS = 300;

  /**
   * Computes the durations for these limits of the workers.
   *
   * <p>The lease in the state service is as short as the number of cores allows, because no task
   * starts after the failure of a leader until its lease has expired. It must be long enough that a
   * healthy leader does not lose it by the pauses of a slow processor.
   *
   * @param cores the number of processor cores of this controller, possibly less than one
   */
  public static SafetyTiming of(Settings.WorkerLimits workerLimits, double cores) {
    double workerLeaseS = workerLimits.leaseS() * MAX_CLOCK_RATE_RATIO + WORKER_LEASE_MARGIN_S;
    // A leader does not know of a cancellation that is accepted right after it last read the state.
    // Until the grace ends, its responses renew worker leases. Grace and worker lease together must
    // therefore end within cancel_s after the cancellation.
    double graceS =
        Math.max(
            0, (workerLimits.cancelS() - CANCEL_MARGIN_S) / MAX_CLOCK_RATE_RATIO - workerLeaseS);
    long stateLeaseMs =
        Math.min(
            MAX_STATE_LEASE_MS,
            MIN_STATE_LEASE_MS + Math.round(STATE_LEASE_ONE_CORE_ADDITION_MS / cores));
    return new SafetyTiming(
        stateLeaseMs, Math.round(graceS * 1000), Math.round(workerLeaseS * 1000));
  }

  /**
   * How long a lease in the state service is certainly valid, in milliseconds by this process's
   * steady clock, counted from the sending of its last renewal that was answered.
   */
  public long stateLeaseValidMs() {
    return Math.round(stateLeaseMs / MAX_CLOCK_RATE_RATIO) - STATE_LEASE_MARGIN_MS;
  }

  /**
   * How long after the start of its term a leader must assume that worker leases which an earlier
   * leader renewed are still valid, in milliseconds.
   */
  public long takeoverWaitMs() {
    return Math.round((heartbeatGraceMs + workerLeaseMs) * MAX_CLOCK_RATE_RATIO)
        + TAKEOVER_MARGIN_MS;
  }
}
