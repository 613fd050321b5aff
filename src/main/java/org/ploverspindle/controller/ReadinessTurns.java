package org.ploverspindle.controller;

/**
 * Decides which of several controllers stays ready while each of them may be cut off and can't ask
 * the others. The controllers take turns, so that every controller is not ready for some time and
 * its users reach the others, and nevertheless one controller is ready at any time. All controllers
 * compute the same turns without communicating, from the time since the loss that all observed.
 *
 * <p>A turn lasts until the load balancer has surely accepted the next controller again. The load
 * balancer keeps a controller out for 3 s after a removal and doubles this pause with each further
 * one, up to 60 s, so turns become longer with the number of removals.
 */
final class ReadinessTurns {
  /**
   * How long before its turn a controller is ready, in milliseconds. The load balancer accepts a
   * controller after two successful probes, one a second.
   */
  static final long OVERLAP_MS = 6_000;

  /**
   * The shortest turn. A controller that leaves at the beginning of one stays away long enough for
   * the load balancer to reset its connections.
   */
  private static final long MIN_TURN_MS = 24_000;

  private static final long FIRST_PAUSE_MS = 3_000;
  private static final long MAX_PAUSE_MS = 60_000;
  private static final int REMOVALS_TO_MAX_PAUSE = 6;

  /**
   * Longest time from a loss to the removal of a controller that is not ready, and from the end of
   * its pause to its acceptance, together.
   */
  private static final long REMOVAL_AND_ACCEPTANCE_MS = 13_000;

  private ReadinessTurns() {}

  /**
   * A turn.
   *
   * @param rank the rank of the controller whose turn it is, from 0
   * @param round how often every controller has had its turn before
   * @param remainingMs the time until the next turn, in milliseconds
   */
  record Turn(int rank, int round, long remainingMs) {
    /** The most removals of a controller since the loss, by the load balancer's probes. */
    int removals() {
      boolean endedOwnTurn = rank > 1;
      return round + (endedOwnTurn ? 2 : 1);
    }

    /** Whether the controller of this rank, one of {@code count}, must be ready now. */
    boolean includes(int otherRank, int count) {
      return otherRank == rank || remainingMs <= OVERLAP_MS && otherRank == (rank + 1) % count;
    }
  }

  /**
   * Returns the turn at a time.
   *
   * @param elapsedMs the time since the loss, in milliseconds
   * @param count the number of controllers that take turns, at least 1
   * @param removals how often the controllers that are not ready were removed lately, including the
   *     removal by this loss; at least 1
   */
  static Turn at(long elapsedMs, int count, int removals) {
    long remainingMs = Math.max(0, elapsedMs);
    int round = 0;
    while (remainingMs >= count * turnMs(removals + round)) {
      remainingMs -= count * turnMs(removals + round);
      round++;
    }
    long turnMs = turnMs(removals + round);
    return new Turn((int) (remainingMs / turnMs), round, turnMs - remainingMs % turnMs);
  }

  /** The length of a turn, in milliseconds; at its end a controller is removed once more. */
  static long turnMs(int removals) {
    return Math.max(MIN_TURN_MS, REMOVAL_AND_ACCEPTANCE_MS + pauseMs(removals + 1));
  }

  private static long pauseMs(int removals) {
    int doublings = Math.min(removals, REMOVALS_TO_MAX_PAUSE) - 1;
    return Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << doublings);
  }
}
