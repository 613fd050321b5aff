package org.ploverspindle.model;

/**
 * One period of leadership, with its fencing tokens and the revision of the leader key on which all
 * writes of the term are conditional.
 *
 * <p>A term has a range of {@link #TOKENS_PER_TERM} fencing tokens, so that the leader can raise
 * the token of a single machine within the term. The machine's worker then rejects commands that
 * were sent to it under a lower token. All tokens of a term are lower than the first token of the
 * next term.
 *
 * @param fencingToken the first fencing token of the term
 * @param leaderRevision the mod revision that the leader key got by the election for this term
 * @param startMs when the term started, in milliseconds of this process's steady clock
 */
public record Term(long fencingToken, long leaderRevision, long startMs) {
  /** The number of fencing tokens of each term. */
  public static final long TOKENS_PER_TERM = 1L << 20;

  /** Whether the token is in the range of this term. */
  public boolean includes(long token) {
    return token >= fencingToken && token < fencingToken + TOKENS_PER_TERM;
  }

  /** Whether the token is of a later term. If it is, this term has ended. */
  public boolean isDeposedBy(long token) {
    return token >= fencingToken + TOKENS_PER_TERM;
  }
}
