package org.ploverspindle.policy;

import java.util.Map;

/**
 * Operators' own settings, evaluated. The defaults of the sizing values are the design's; see
 * docs/operations.md for what each is for.
 */
public record Policy(
    double scanS,
    double backoffS,
    double idleS,
    int poolMin,
    int poolMax,
    double drainS,
    double spotShare,
    Map<String, PoolBounds> pools) {

  /** Bounds of one machine type's pool that differ from the common ones. */
  public record PoolBounds(int min, int max) {}

  public static final Policy DEFAULT = new Policy(3, 30, 60, 0, 1000, 30, 1.0, Map.of());

  public PoolBounds pool(String type) {
    return pools.getOrDefault(type, new PoolBounds(poolMin, poolMax));
  }
}
