package org.ploverspindle.state;

import java.util.BitSet;

/** Sets of task indexes in text form, such as {@code 0-4,7}: small enough for a stored value. */
final class TaskRanges {
  private TaskRanges() {}

  static String format(BitSet tasks) {
    StringBuilder text = new StringBuilder();
    for (int from = tasks.nextSetBit(0); from >= 0; ) {
      int to = tasks.nextClearBit(from) - 1;
      text.append(text.isEmpty() ? "" : ",").append(from);
      if (to > from) {
        text.append('-').append(to);
      }
      from = tasks.nextSetBit(to + 1);
    }
    return text.toString();
  }

  /**
   * Reads the text form.
   *
   * @throws NumberFormatException if a bound is not a number
   * @throws IndexOutOfBoundsException if a range ends before it begins
   */
  static BitSet parse(String text) {
    BitSet tasks = new BitSet();
    for (String range : items(text)) {
      int dash = range.indexOf('-');
      int from = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
      int to = dash < 0 ? from : Integer.parseInt(range.substring(dash + 1));
      tasks.set(from, to + 1);
    }
    return tasks;
  }

  /** The items of a list that is separated by commas; none for an empty text. */
  static String[] items(String text) {
    return text.isEmpty() ? new String[0] : text.split(",", -1);
  }
}
