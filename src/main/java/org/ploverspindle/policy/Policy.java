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
   * Without operators' word the cloud's refusals are the edge of a pool, not a number of ours: 1000
   * was below the first fleet of more machines than that.
   */
  public static final int UNBOUNDED = 100_000;

  public static final Policy DEFAULT = new Policy(3, 30, 60, 0, UNBOUNDED, 30, Map.of());

  public PoolBounds pool(String type) {
    return pools.getOrDefault(type, new PoolBounds(poolMin, poolMax));
  }
}
