package org.ploverspindle.policy;

import java.util.Map;

/**
 * Operators' own settings, evaluated. What each is for, and on what its default rests, is in
 * docs/operations.md.
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

  /**
   * The default maximum of a pool, in effect none: the cloud's refusals are the limit. A default of
   * 1000 left a larger fleet's machines unrented.
   */
  public static final int UNBOUNDED = 100_000;

  public static final Policy DEFAULT = new Policy(3, 30, 60, 0, UNBOUNDED, 30, Map.of());

  /** The bounds of the type's pool: its own, or the common ones. */
  public PoolBounds pool(String type) {
    return pools.getOrDefault(type, new PoolBounds(poolMin, poolMax));
  }
}
