package org.ploverspindle.front;

/**
 * Tells whoever leads that there is something to read in the state service. A hint may be lost; the
 * leader then learns by its next read.
 */
public interface LeaderHints {
  /** A cancellation was just sent to the state service, and may stand there in a moment. */
  void cancelling();

  /** A job or a cancellation of this node is durable. */
  void changed();
}
