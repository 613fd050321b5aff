package org.ploverspindle.sizing;

import java.util.ArrayList;
import java.util.List;

/**
 * Adaptive Sizing of GEP-24 (section 3.1) for one pool, that is, one machine type: how many
 * machines each zone's group must and may hold. The functions are pure, so any leader computes the
 * same bounds from the same state.
 */
public final class AdaptiveSizing {

  /** A zone's group as the scan sees it. */
  public record Group(int held, boolean backedOff) {}

  /** How many machines a group must hold at least and may hold at most. */
  public record Bounds(int min, int max) {}

  private AdaptiveSizing() {}

  /** The source's DistributeOverZones: earlier zones take the remainder. */
  public static int distribute(int index, int size, int count) {
    return size / count + (index < size % count ? 1 : 0);
  }

  /**
   * Bounds of every group, in the order of the zones.
   *
   * <p>Edges: with all groups backed off every minimum is 0, as nobody is left to take them over. A
   * maximum is never below 0 when more is held than the pool may have. Where the maximum is below
   * the minimum, the maximum wins: no machine is rented for a minimum beyond the pool.
   */
  public static List<Bounds> bounds(int poolMin, int poolMax, List<Group> groups) {
    int zones = groups.size();
    int heldInAll = groups.stream().mapToInt(Group::held).sum();
    int goodCount = 0;
    int badMinSum = 0;
    for (int i = 0; i < zones; i++) {
      if (groups.get(i).backedOff()) {
        badMinSum += distribute(i, poolMin, zones);
      } else {
        goodCount++;
      }
    }
    List<Bounds> result = new ArrayList<>(zones);
    int goodIndex = 0;
    for (int i = 0; i < zones; i++) {
      Group group = groups.get(i);
      int max = Math.max(0, poolMax - (heldInAll - group.held()));
      int min = 0;
      if (!group.backedOff()) {
        min = distribute(i, poolMin, zones) + distribute(goodIndex, badMinSum, goodCount);
        goodIndex++;
      }
      result.add(new Bounds(min, max));
    }
    return result;
  }
}
