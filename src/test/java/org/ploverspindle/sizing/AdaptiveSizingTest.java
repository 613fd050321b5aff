package org.ploverspindle.sizing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ploverspindle.sizing.AdaptiveSizing.Bounds;
import org.ploverspindle.sizing.AdaptiveSizing.Group;

/**
 * Guards against bounds that deviate from GEP-24. Expected values come from its published tables,
 * and, for random pools (seed 5), from a reference model that assigns machines one at a time.
 */
class AdaptiveSizingTest {
  private static List<Bounds> bounds(int poolMin, int poolMax, String held, String backoff) {
    List<Group> groups = new ArrayList<>();
    String[] counts = held.split(" ");
    for (int i = 0; i < counts.length; i++) {
      groups.add(new Group(Integer.parseInt(counts[i]), backoff.charAt(i) == 'b'));
    }
    return AdaptiveSizing.bounds(poolMin, poolMax, groups);
  }

  private static String format(List<Bounds> bounds) {
    StringBuilder text = new StringBuilder();
    bounds.forEach(
        zone ->
            text.append(text.isEmpty() ? "" : " ")
                .append(zone.min())
                .append(':')
                .append(zone.max()));
    return text.toString();
  }

  /**
   * Cases of GEP-24, section 3.1: a pool with minimum 3 and maximum 4 over three zones. Columns:
   * name of the scan, machines in each zone, zones in backoff ("b"), expected minimum:maximum of
   * each zone. For scan 4 of the backoff the expected values follow the formula of GEP-24, which
   * differs from its table.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "good 0, 0 0 0, ..., 1:4 1:4 1:4",
    "good 1, 1 0 0, ..., 1:4 1:3 1:3",
    "good 2, 2 1 0, ..., 1:3 1:2 1:1",
    "good 3, 2 1 1, ..., 1:2 1:1 1:1",
    "backoff 1, 0 1 0, b.., 0:3 2:4 1:3",
    "backoff 2, 0 2 0, b.., 0:2 2:4 1:2",
    "backoff 3, 0 2 1, b.., 0:1 2:3 1:2",
    "backoff 4, 0 2 2, b.., 0:0 2:2 1:2",
  })
  void boundsFollowThePublishedTables(String name, String held, String backoff, String expected) {
    assertEquals(expected, format(bounds(3, 4, held, backoff)));
  }

  @Test
  void remainderOfTheMinimumGoesToEarlierZones() {
    assertEquals("2:5 1:5", format(bounds(3, 5, "0 0", "..")));
  }

  @Test
  void everyMinimumIsZeroWithAllZonesInBackoff() {
    assertEquals("0:4 0:4 0:4", format(bounds(3, 4, "0 0 0", "bbb")));
  }

  @Test
  void groupsOfAPoolAboveItsMaximumHaveAMaximumOfZero() {
    assertEquals("1:0 1:0", format(bounds(2, 2, "3 2", "..")));
  }

  @Test
  void randomBoundsAgreeWithTheReferenceModel() {
    Random random = new Random(5);
    for (int round = 0; round < 500; round++) {
      int zones = 1 + random.nextInt(5);
      int min = random.nextInt(8);
      int max = min + random.nextInt(8);
      List<Group> groups = new ArrayList<>();
      for (int i = 0; i < zones; i++) {
        groups.add(new Group(random.nextInt(4), random.nextInt(3) == 0));
      }
      assertEquals(referenceBounds(min, max, groups), AdaptiveSizing.bounds(min, max, groups));
    }
  }

  /**
   * Assigns the pool's minimum to the zones one machine at a time in turn, then the shares of the
   * zones in backoff to the other zones in the same way.
   */
  private static List<Bounds> referenceBounds(int min, int max, List<Group> groups) {
    int[] mins = new int[groups.size()];
    for (int assigned = 0; assigned < min; assigned++) {
      mins[assigned % groups.size()]++;
    }
    List<Integer> healthyZones = new ArrayList<>();
    int machinesToTakeOver = 0;
    for (int i = 0; i < groups.size(); i++) {
      if (groups.get(i).backedOff()) {
        machinesToTakeOver += mins[i];
        mins[i] = 0;
      } else {
        healthyZones.add(i);
      }
    }
    for (int assigned = 0; assigned < machinesToTakeOver && !healthyZones.isEmpty(); assigned++) {
      mins[healthyZones.get(assigned % healthyZones.size())]++;
    }
    List<Bounds> result = new ArrayList<>();
    for (int i = 0; i < groups.size(); i++) {
      int heldByOtherZones = 0;
      for (int j = 0; j < groups.size(); j++) {
        heldByOtherZones += j == i ? 0 : groups.get(j).machineCount();
      }
      result.add(new Bounds(mins[i], Math.max(0, max - heldByOtherZones)));
    }
    return result;
  }
}
