package org.ploverspindle.api;

import java.util.List;
import org.ploverspindle.state.StateStore.Change;

/**
 * Notifies the leader, on this or another controller, of writes to the state service that it should
 * read. A notification may be lost; the leader then learns of the write by its next read.
 */
public interface LeaderNotifier {
  /**
   * Called when a cancellation was just sent to the state service, and may become durable at any
   * time.
   */
  void cancellationSent();

  /**
   * Called when these cancellations are durable, as of the given revision, and before any user gets
   * a response.
   */
  void cancellationsCommitted(List<Change.Put> cancellations, long revision);

  /** Called when jobs that this controller accepted are durable. */
  void jobsAccepted();
}
