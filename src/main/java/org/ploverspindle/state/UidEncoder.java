package org.ploverspindle.state;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Encodes the ids of jobs as 64-bit keys. Different ids have different keys: an id is a word, a
 * dash and up to 18 digits, so the position of its digits among all such texts fits into 60 bits,
 * and the word is represented by its index. Ids of another form, and ids with a word beyond the
 * first 16, have no key.
 */
final class UidEncoder {
  private static final int MAX_WORDS = 16;
  private static final int MAX_DIGITS = 18;
  private static final int WORD_SHIFT = 60;
  private static final int DECIMAL = 10;

  private final List<String> words = new ArrayList<>();

  /** Returns the key of the id; empty if it has none, or if no id with its word was added. */
  OptionalLong encode(String uid) {
    return encode(uid, false);
  }

  /** Returns the key of the id, whose word is added if it is new; empty if the id has no key. */
  OptionalLong add(String uid) {
    return encode(uid, true);
  }

  private OptionalLong encode(String uid, boolean addWord) {
    int dash = uid.lastIndexOf('-');
    int digits = uid.length() - dash - 1;
    if (dash < 0 || digits < 1 || digits > MAX_DIGITS) {
      return OptionalLong.empty();
    }
    long number = 0;
    long shorterTexts = 0;
    for (int i = dash + 1; i < uid.length(); i++) {
      char digit = uid.charAt(i);
      if (digit < '0' || digit > '9') {
        return OptionalLong.empty();
      }
      number = DECIMAL * number + (digit - '0');
      shorterTexts = DECIMAL * shorterTexts + (i > dash + 1 ? DECIMAL : 0);
    }
    long word = indexOf(uid.substring(0, dash), addWord);
    return word < 0
        ? OptionalLong.empty()
        : OptionalLong.of(word << WORD_SHIFT | shorterTexts + number);
  }

  private int indexOf(String word, boolean addWord) {
    int index = words.indexOf(word);
    if (index < 0 && addWord && words.size() < MAX_WORDS) {
      words.add(word);
      return words.size() - 1;
    }
    return index;
  }
}
