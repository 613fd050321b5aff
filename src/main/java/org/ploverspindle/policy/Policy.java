package org.ploverspindle.policy;

import java.util.Map;

/**
 * The values of the operators' policy. docs/operations.md explains each value and its default.
 *
 * @param scanS seconds between two scale-out rounds
 * @param backoffS seconds for which no machines of a group are requested after a failed request;
 *     the actual time is varied at random
 * @param idleS longest time in seconds that an idle machine is kept which neither work nor the
 *     minimum of its pool needs
 * @param poolMin number of machines that the pool of each machine type must have at least
 * @param poolMax number of machines that the pool of each machine type may have at most
 * @param drainS seconds within which guaranteed work, and work without a deadline, should be done;
 *     scale-out requests enough machines for that
 * @param pools the bounds of the pools that have their own, by the name of the machine type
 */
public record Policy(
    double scanS,
    double backoffS,
    double idleS,
    int poolMin,
    int poolMax,
    double drainS,
    Map<String, PoolBounds> pools) {

  /** The minimum and maximum number of machines in the pool of one machine type. */
  public record PoolBounds(int min, int max) {}

  /** The default maximum of a pool. It is so large that only the cloud's capacity limits a pool. */
  public static final int UNBOUNDED = 100_000;

  /** The policy that applies when no policy file is given. */
  public static final Policy DEFAULT = new Policy(3, 30, 60, 0, UNBOUNDED, 30, Map.of());

  /** The bounds of the machine type's pool: its own, or the common ones if it has none. */
  public PoolBounds pool(String type) {
    return pools.getOrDefault(type, new PoolBounds(poolMin, poolMax));
  }
}
