package org.ploverspindle.leadership;

import java.util.function.BooleanSupplier;

/**
 * Whether a leader may make decisions and send commands now: only while its term has not been
 * closed and its lease in the state service is certainly valid. To be checked again before each
 * decision and each send, as the lease may expire between two of them.
 */
final class TermAuthority implements BooleanSupplier {
  private final Election election;
  private boolean closed;

  TermAuthority(Election election) {
    this.election = election;
  }

  /** Ends the authority of this term. A later term of the same controller has its own instance. */
  void close() {
    closed = true;
  }

  @Override
  public boolean getAsBoolean() {
    return !closed && election.isAuthoritative();
  }
}
