package org.ploverspindle.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TermTest {
  private static final long FIRST = 7 * Term.TOKENS_PER_TERM + 1;
  private static final long NEXT = FIRST + Term.TOKENS_PER_TERM;

  private final Term term = new Term(FIRST, 40, 0);

  /**
   * A parameter that hid the field of the same name compared the token with itself: every token
   * counted as the term's own, and no later term was ever recognised.
   */
  @Test
  void ownsExactlyTheTokensOfItsRange() {
    assertFalse(term.owns(FIRST - 1));
    assertTrue(term.owns(FIRST));
    assertTrue(term.owns(NEXT - 1));
    assertFalse(term.owns(NEXT));
  }

  @Test
  void isBeforeTheTokensOfLaterTermsAlone() {
    assertFalse(term.isBefore(FIRST - 1));
    assertFalse(term.isBefore(NEXT - 1));
    assertTrue(term.isBefore(NEXT));
  }
}
