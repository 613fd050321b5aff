package org.ploverspindle.api;

import java.util.List;
import org.ploverspindle.state.StateStore.Change;

/**
 * Notifies the leader, wherever it is, that there is something to read in the state service. A
 * notification may be lost; the leader then learns of it by its next read.
 */
public interface LeaderNotifier {
  /** A cancellation was just sent to the state service, and may become durable any time. */
  void cancellationSent();

  /** These cancellations are durable, as of that revision; no user has got a response yet. */
  void cancellationsCommitted(List<Change.Put> cancellations, long revision);

  /** Jobs that this controller accepted are durable. */
  void jobsAccepted();
}
