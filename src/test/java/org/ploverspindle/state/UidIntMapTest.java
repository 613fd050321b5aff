package org.ploverspindle.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class UidIntMapTest {
  private static final String[] DIGITS = {"0", "1", "10", "000", "999999999999999999", "412"};

  /** Guards against two ids that are taken for one: a job would get the answer of another. */
  @Test
  void entriesOfRandomIdsMatchThoseOfAPlainMap() {
    Random random = new Random(3);
    UidIntMap map = new UidIntMap(new SplittableRandom(4));
    Map<String, Integer> expected = new HashMap<>();
    for (int i = 0; i < 200_000; i++) {
      String uid = randomUid(random);
      if (random.nextInt(5) == 0) {
        map.remove(uid);
        expected.remove(uid);
      } else {
        int value = 1 + random.nextInt(1_000_000);
        map.put(uid, value);
        expected.put(uid, value);
      }
      String other = randomUid(random);
      assertEquals(expected.getOrDefault(other, 0), map.get(other), other);
    }
    expected.forEach((uid, value) -> assertEquals(value, map.get(uid), uid));
    assertEquals(expected.size(), map.size());
  }

  /** Draws similar ids: with leading zeros, of 30 words, and some of another form. */
  private static String randomUid(Random random) {
    String digits =
        random.nextInt(4) == 0
            ? DIGITS[random.nextInt(DIGITS.length)]
            : "00000".substring(random.nextInt(6)) + random.nextInt(2_000);
    return switch (random.nextInt(12)) {
      case 0 -> "w" + random.nextInt(30) + "-" + digits;
      case 1 -> "run" + digits;
      case 2 -> "run-" + digits + "x";
      default -> "run-" + digits;
    };
  }

  @Test
  void removingTheEntriesOfAnotherMapLeavesTheOthers() {
    UidIntMap map = new UidIntMap(new SplittableRandom(5));
    UidIntMap removed = map.newMapForSameIds();
    for (int i = 0; i < 1_000; i++) {
      map.put("run-" + i, 1);
      map.put("run" + i, 1);
      if (i % 2 == 0) {
        removed.put("run-" + i, 7);
        removed.put("run" + i, 7);
      }
    }
    map.removeAll(removed);
    for (int i = 0; i < 1_000; i++) {
      assertEquals(i % 2, map.get("run-" + i));
      assertEquals(i % 2, map.get("run" + i));
    }
  }
}
