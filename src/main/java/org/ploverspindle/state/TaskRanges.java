package org.ploverspindle.state;

import java.util.BitSet;

/**
 * The compact text form of sets of task indexes in stored values, such as {@code 0-4,7}. Both
 * bounds of a range are inclusive.
 */
final class TaskRanges {
  private TaskRanges() {}

  static String format(BitSet tasks) {
    StringBuilder text = new StringBuilder();
    for (int first = tasks.nextSetBit(0); first >= 0; ) {
      int last = tasks.nextClearBit(first) - 1;
      text.append(text.isEmpty() ? "" : ",").append(first);
      if (last > first) {
        text.append('-').append(last);
      }
      first = tasks.nextSetBit(last + 1);
    }
    return text.toString();
  }

  /**
   * Parses the text form.
   *
   * @throws NumberFormatException if a bound is not a number
   * @throws IndexOutOfBoundsException if the last task of a range is less than its first task
   */
  static BitSet parse(String text) {
    BitSet tasks = new BitSet();
    for (String range : items(text)) {
      int dash = range.indexOf('-');
      int first = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
      int last = dash < 0 ? first : Integer.parseInt(range.substring(dash + 1));
      tasks.set(first, last + 1);
    }
    return tasks;
  }

  /** Splits a comma-separated list into its items; an empty text has no items. */
  static String[] items(String text) {
    return text.isEmpty() ? new String[0] : text.split(",", -1);
  }
}
