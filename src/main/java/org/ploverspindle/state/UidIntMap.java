package org.ploverspindle.state;

import com.carrotsearch.hppc.LongIntHashMap;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * A map from the ids of jobs to integers other than 0. An entry takes 14 to 28 bytes, as a table
 * has 12 bytes for each place and between three and six sevenths of them are used; an id that
 * {@link UidEncoder} can't encode takes some 150 bytes. The entries are divided among many small
 * tables, so that no single growth of a table needs much memory or time.
 *
 * <p>Keys are multiplied by a random odd number, which is invertible and so adds no collisions.
 * Users choose the ids, and without it they could choose ids that all fall on the same places.
 */
final class UidIntMap {
  private static final int TABLE_BITS = 6;
  private static final int EXPECTED_ENTRIES = 4;
  private static final double LOAD_FACTOR = 6.0 / 7;

  private final UidEncoder encoder;
  private final LongIntHashMap[] tables = new LongIntHashMap[1 << TABLE_BITS];
  private final Map<String, Integer> unencoded = new HashMap<>();
  private final long multiplier;

  UidIntMap(RandomGenerator random) {
    this(new UidEncoder(), random.nextLong() | 1);
  }

  private UidIntMap(UidEncoder encoder, long multiplier) {
    this.encoder = encoder;
    this.multiplier = multiplier;
    for (int i = 0; i < tables.length; i++) {
      tables[i] = new LongIntHashMap(EXPECTED_ENTRIES, LOAD_FACTOR);
    }
  }

  /** Returns the value of the id; 0 if it has none. */
  int get(String uid) {
    OptionalLong encoded = encoder.encode(uid);
    if (encoded.isEmpty()) {
      return unencoded.getOrDefault(uid, 0);
    }
    long key = encoded.getAsLong() * multiplier;
    return table(key).get(key);
  }

  /** Sets the value of the id, which must not be 0. */
  void put(String uid, int value) {
    OptionalLong encoded = encoder.add(uid);
    if (encoded.isEmpty()) {
      unencoded.put(uid, value);
      return;
    }
    long key = encoded.getAsLong() * multiplier;
    table(key).put(key, value);
  }

  /** Removes the value of the id, if it has one. */
  void remove(String uid) {
    OptionalLong encoded = encoder.encode(uid);
    if (encoded.isEmpty()) {
      unencoded.remove(uid);
      return;
    }
    long key = encoded.getAsLong() * multiplier;
    table(key).remove(key);
  }

  /** Creates an empty map whose entries {@link #removeAll} can remove from this map. */
  UidIntMap newMapForSameIds() {
    return new UidIntMap(encoder, multiplier);
  }

  /** Removes the entries of all ids in a map that {@link #newMapForSameIds} created. */
  void removeAll(UidIntMap other) {
    other.unencoded.keySet().forEach(unencoded::remove);
    for (int i = 0; i < tables.length; i++) {
      tables[i].removeAll(other.tables[i].keys());
    }
  }

  /** Returns the number of entries. */
  int size() {
    int size = unencoded.size();
    for (LongIntHashMap table : tables) {
      size += table.size();
    }
    return size;
  }

  private LongIntHashMap table(long key) {
    return tables[(int) (key >>> (Long.SIZE - TABLE_BITS))];
  }
}
