package org.ploverspindle.model;

/**
 * A time of leading: its tokens, and the leader key's version that all its writes are bound to. A
 * term has many tokens, so that one machine's can be raised alone: what was sent to it under a
 * lower one is then void. All of a term are lower than the first of the next.
 */
public record Term(long fencingToken, long leaderRevision, long startMs) {
  /** How many tokens a term has. */
  public static final long TOKENS_PER_TERM = 1L << 20;

  public boolean owns(long otherToken) {
    return otherToken >= fencingToken && otherToken < fencingToken + TOKENS_PER_TERM;
  }

  public boolean isBefore(long otherToken) {
    return otherToken >= fencingToken + TOKENS_PER_TERM;
  }
}
