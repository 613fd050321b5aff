package org.ploverspindle;

import java.util.List;
import org.ploverspindle.api.LeaderNotifier;
import org.ploverspindle.state.StateStore.Change;

/** Where nobody leads. */
public final class NoOpLeaderNotifier implements LeaderNotifier {
  @Override
  public void cancelling() {}

  @Override
  public void cancelled(List<Change.Put> cancellations, long ledger) {}

  @Override
  public void accepted() {}
}
