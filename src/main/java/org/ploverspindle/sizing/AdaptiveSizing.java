package org.ploverspindle.sizing;

import java.util.ArrayList;
import java.util.List;

/**
 * Adaptive Sizing of GEP-24 (section 3.1) for one pool, which is all machines of one machine type.
 * Computes how many machines the group of each zone must have at least and may have at most. The
 * functions are pure, so that any leader computes the same bounds from the same state.
 */
public final class AdaptiveSizing {

  /**
   * The machines of the pool in one zone.
   *
   * @param machineCount number of machines in the group, including requested ones
   * @param backedOff whether the group is in backoff, since provisioning requests for it have
   *     failed
   */
  public record Group(int machineCount, boolean backedOff) {}

  /** The number of machines that a group must have at least and may have at most. */
  public record Bounds(int min, int max) {}

  private AdaptiveSizing() {}

  /**
   * The share of one zone when a number is distributed evenly over all zones (DistributeOverZones
   * in GEP-24). Each of the first zones gets one more until the remainder is used up.
   *
   * @param zone index of the zone, counted from 0
   * @param number the number to distribute
   * @param zones how many zones there are
   */
  public static int distribute(int zone, int number, int zones) {
    return number / zones + (zone < number % zones ? 1 : 0);
  }

  /**
   * The bounds of every group, in the order of the zones.
   *
   * <p>The minimums of groups in backoff are distributed over the other groups. If all groups are
   * in backoff, every minimum is 0, since no group is left to take them over. A maximum is never
   * below 0, even if the pool has more machines than its maximum. Where a group's maximum is below
   * its minimum, callers must respect the maximum.
   *
   * @param poolMin number of machines that the pool must have at least
   * @param poolMax number of machines that the pool may have at most
   * @param groups the groups of the pool, in the order of the zones
   */
  public static List<Bounds> bounds(int poolMin, int poolMax, List<Group> groups) {
    int zones = groups.size();
    int totalMachineCount = groups.stream().mapToInt(Group::machineCount).sum();
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
      int max = Math.max(0, poolMax - (totalMachineCount - group.machineCount()));
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
