package org.ploverspindle.state;

import java.util.Arrays;
import java.util.BitSet;
import java.util.stream.IntStream;

/**
 * An immutable set of task indexes, kept as the ascending ranges of consecutive indexes in it. The
 * memory grows with the number of ranges, and so with the stored text, whatever the indexes are.
 *
 * <p>The text form in stored values is compact, such as {@code 0-4,7}. Both bounds of a range are
 * inclusive.
 */
public final class TaskRanges {
  private static final TaskRanges EMPTY = new TaskRanges(new int[0]);
  private static final int BOUNDS_PER_RANGE = 2;

  /** The first and the last index of each range, in turn. */
  private final int[] bounds;

  private TaskRanges(int[] bounds) {
    this.bounds = bounds;
  }

  /** Returns the ranges of these tasks. */
  public static TaskRanges of(BitSet tasks) {
    IntStream.Builder bounds = IntStream.builder();
    for (int first = tasks.nextSetBit(0); first >= 0; ) {
      int last = tasks.nextClearBit(first) - 1;
      bounds.add(first).add(last);
      first = tasks.nextSetBit(last + 1);
    }
    return ofBounds(bounds.build().toArray());
  }

  private static TaskRanges ofBounds(int[] bounds) {
    return bounds.length == 0 ? EMPTY : new TaskRanges(bounds);
  }

  /**
   * Parses the text form.
   *
   * @throws NumberFormatException if a bound is not a number
   * @throws IndexOutOfBoundsException if a bound is negative or too large, or the last task of a
   *     range is less than its first task
   */
  static TaskRanges parse(String text) {
    String[] items = items(text);
    int[] bounds = new int[items.length * BOUNDS_PER_RANGE];
    boolean ascending = true;
    for (int i = 0; i < items.length; i++) {
      int dash = items[i].indexOf('-');
      int first = Integer.parseInt(dash < 0 ? items[i] : items[i].substring(0, dash));
      int last = dash < 0 ? first : Integer.parseInt(items[i].substring(dash + 1));
      if (first < 0 || last < first || last == Integer.MAX_VALUE) {
        throw new IndexOutOfBoundsException("range of tasks " + items[i]);
      }
      ascending &= i == 0 || first > bounds[i * BOUNDS_PER_RANGE - 1];
      bounds[i * BOUNDS_PER_RANGE] = first;
      bounds[i * BOUNDS_PER_RANGE + 1] = last;
    }
    TaskRanges ranges = ofBounds(bounds);
    return ascending ? ranges : of(ranges.toBitSet());
  }

  /** Splits a comma-separated list into its items; an empty text has no items. */
  static String[] items(String text) {
    return text.isEmpty() ? new String[0] : text.split(",", -1);
  }

  public boolean isEmpty() {
    return bounds.length == 0;
  }

  /** The number of ranges. */
  public int rangeCount() {
    return bounds.length / BOUNDS_PER_RANGE;
  }

  /** The first task of the range with this index. */
  public int firstTask(int range) {
    return bounds[range * BOUNDS_PER_RANGE];
  }

  /** The last task of the range with this index. */
  public int lastTask(int range) {
    return bounds[range * BOUNDS_PER_RANGE + 1];
  }

  /** Returns the tasks that are in this set, in the other one, or in both. */
  public TaskRanges union(TaskRanges other) {
    BitSet tasks = toBitSet();
    other.addTo(tasks);
    return of(tasks);
  }

  /** Adds the tasks to a set. */
  public void addTo(BitSet tasks) {
    for (int range = 0; range < rangeCount(); range++) {
      tasks.set(firstTask(range), lastTask(range) + 1);
    }
  }

  /** Returns a new set of the tasks. Its memory grows with the highest index. */
  public BitSet toBitSet() {
    BitSet tasks = new BitSet();
    addTo(tasks);
    return tasks;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TaskRanges ranges && Arrays.equals(bounds, ranges.bounds);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bounds);
  }

  /** Returns the text form. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (int range = 0; range < rangeCount(); range++) {
      text.append(range == 0 ? "" : ",").append(firstTask(range));
      if (lastTask(range) > firstTask(range)) {
        text.append('-').append(lastTask(range));
      }
    }
    return text.toString();
  }
}
