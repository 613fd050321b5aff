package org.ploverspindle.sizing;

import java.util.ArrayList;
import java.util.List;

/**
 * Adaptive Sizing of GEP-24 (section 3.1) for one pool, that is, one machine type: how many
 * machines each zone's group must and may hold. The functions are pure, so any leader computes the
 * same bounds from the same state.
 */
public final class AdaptiveSizing {

  /**
   * A zone's group.
   *
   * @param held machines that it holds, requested ones included
   * @param backedOff whether requests for it fail at present
   */
  public record Group(int held, boolean backedOff) {}

  /** How many machines a group must hold at least and may hold at most. */
  public record Bounds(int min, int max) {}

  private AdaptiveSizing() {}

  /**
   * The share of one zone when a number is distributed over all, GEP-24's DistributeOverZones:
   * earlier zones take the remainder.
   */
  public static int distribute(int zone, int number, int zones) {
    return number / zones + (zone < number % zones ? 1 : 0);
  }

  /**
   * Bounds of every group, in the order of the zones.
   *
   * <p>With all groups backed off every minimum is 0, as no group is left to take them over. A
   * maximum is never below 0, also when more is held than the pool may have. Where a maximum is
   * below the minimum, callers must respect the maximum.
   *
   * @param poolMin machines that the pool must hold
   * @param poolMax machines that the pool may hold
   */
  public static List<Bounds> bounds(int poolMin, int poolMax, List<Group> groups) {
    int zones = groups.size();
    int totalHeld = groups.stream().mapToInt(Group::held).sum();
    int healthyCount = 0;
    int backedOffMinSum = 0;
    for (int zone = 0; zone < zones; zone++) {
      if (groups.get(zone).backedOff()) {
        backedOffMinSum += distribute(zone, poolMin, zones);
      } else {
        healthyCount++;
      }
    }
    List<Bounds> result = new ArrayList<>(zones);
    int healthyIndex = 0;
    for (int zone = 0; zone < zones; zone++) {
      Group group = groups.get(zone);
      int max = Math.max(0, poolMax - (totalHeld - group.held()));
      int min = 0;
      if (!group.backedOff()) {
        int takenOver = distribute(healthyIndex, backedOffMinSum, healthyCount);
        min = distribute(zone, poolMin, zones) + takenOver;
        healthyIndex++;
      }
      result.add(new Bounds(min, max));
    }
    return result;
  }
}
