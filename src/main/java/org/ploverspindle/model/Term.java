package org.ploverspindle.model;

/**
 * One period of leadership: its fencing tokens, and the revision of the leader key that all writes
 * of the term are conditional on.
 *
 * <p>A term owns a range of {@link #TOKENS_PER_TERM} fencing tokens, so that the token of a single
 * machine can be raised on its own: commands that were sent to it under a lower token are then
 * rejected. All tokens of a term are lower than the first one of the next term.
 *
 * @param fencingToken the first fencing token of the term
 * @param leaderRevision the mod revision of the leader key that the election of this term wrote
 * @param startMs when the term began, on this process's steady clock
 */
public record Term(long fencingToken, long leaderRevision, long startMs) {
  /** Size of the range of fencing tokens that belongs to a term. */
  public static final long TOKENS_PER_TERM = 1L << 20;

  /** Whether the token belongs to this term. */
  public boolean owns(long token) {
    return token >= fencingToken && token < fencingToken + TOKENS_PER_TERM;
  }

  /** Whether the token belongs to a later term, that is, whether this term is deposed. */
  public boolean isBefore(long token) {
    return token >= fencingToken + TOKENS_PER_TERM;
  }
}
