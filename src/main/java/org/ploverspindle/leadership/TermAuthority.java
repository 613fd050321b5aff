package org.ploverspindle.leadership;

import java.util.function.BooleanSupplier;

/**
 * Whether a leader may decide now: while its term has not been closed and its lease in the state
 * service is certainly valid. Asked again before each decision and each send, as the lease may
 * expire between two of them.
 */
final class TermAuthority implements BooleanSupplier {
  private final Election election;
  private boolean closed;

  TermAuthority(Election election) {
    this.election = election;
  }

  /** Ends the authority of this term; a later term of the same controller has its own. */
  void close() {
    closed = true;
  }

  @Override
  public boolean getAsBoolean() {
    return !closed && election.isAuthoritative();
  }
}
