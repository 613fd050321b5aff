package org.ploverspindle;

import java.util.List;
import org.ploverspindle.api.LeaderNotifier;
import org.ploverspindle.state.StateStore.Change;

/** Drops all notifications, for tests without a leader. */
public final class NoOpLeaderNotifier implements LeaderNotifier {
  @Override
  public void cancellationSent() {}

  @Override
  public void cancellationsCommitted(List<Change.Put> cancellations, long revision) {}

  @Override
  public void jobsAccepted() {}
}
