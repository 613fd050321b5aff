package org.ploverspindle.policy;

import java.util.Map;

/**
 * The operators' policy, evaluated. docs/operations.md explains each value and its default.
 *
 * @param scanS seconds between two scale-out rounds
 * @param backoffS for how many seconds a group gets no request after a failed one
 * @param idleS for how many seconds a machine is idle before it is terminated
 * @param poolMin the machines that each type's pool must hold
 * @param poolMax the machines that each type's pool may hold
 * @param drainS in how many seconds work that should not wait is to be done
 * @param pools the bounds of the pools that have their own, by machine type
 */
public record Policy(
    double scanS,
    double backoffS,
    double idleS,
    int poolMin,
    int poolMax,
    double drainS,
    Map<String, PoolBounds> pools) {

  /** Bounds of one machine type's pool that differ from the common ones. */
  public record PoolBounds(int min, int max) {}

  /** The default maximum of a pool, in effect none: the cloud's capacity is the limit. */
  public static final int UNBOUNDED = 100_000;

  /** The policy without a file. */
  public static final Policy DEFAULT = new Policy(3, 30, 60, 0, UNBOUNDED, 30, Map.of());

  /** The bounds of the type's pool: its own, or the common ones. */
  public PoolBounds pool(String type) {
    return pools.getOrDefault(type, new PoolBounds(poolMin, poolMax));
  }
}
