package org.ploverspindle.api;

import java.util.List;
import org.ploverspindle.state.StateStore.Change;

/**
 * Tells whoever leads that there is something to read in the state service. A hint may be lost; the
 * leader then learns by its next read.
 */
public interface LeaderNotifier {
  /** A cancellation was just sent to the state service, and may stand there in a moment. */
  void cancelling();

  /** These cancellations are durable, as of that revision; nobody has been told yet. */
  void cancelled(List<Change.Put> cancellations, long ledger);

  /** A job of this node is durable. */
  void accepted();
}
