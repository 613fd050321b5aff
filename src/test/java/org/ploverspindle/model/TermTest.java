package org.ploverspindle.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TermTest {
  private static final long FIRST_TOKEN = 7 * Term.TOKENS_PER_TERM + 1;
  private static final long FIRST_TOKEN_OF_NEXT_TERM = FIRST_TOKEN + Term.TOKENS_PER_TERM;

  private final Term term = new Term(FIRST_TOKEN, 40, 0);

  /**
   * Guards against a parameter that hides the field {@code fencingToken}. The token was then
   * compared with itself, so every token counted as one of the term, and no later term was
   * recognised.
   */
  @Test
  void termOwnsExactlyTheTokensOfItsRange() {
    assertFalse(term.includes(FIRST_TOKEN - 1));
    assertTrue(term.includes(FIRST_TOKEN));
    assertTrue(term.includes(FIRST_TOKEN_OF_NEXT_TERM - 1));
    assertFalse(term.includes(FIRST_TOKEN_OF_NEXT_TERM));
  }

  @Test
  void termIsBeforeOnlyTheTokensOfLaterTerms() {
    assertFalse(term.isDeposedBy(FIRST_TOKEN - 1));
    assertFalse(term.isDeposedBy(FIRST_TOKEN_OF_NEXT_TERM - 1));
    assertTrue(term.isDeposedBy(FIRST_TOKEN_OF_NEXT_TERM));
  }
}
