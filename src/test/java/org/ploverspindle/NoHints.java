package org.ploverspindle;

import org.ploverspindle.front.LeaderHints;

/** Where nobody leads. */
public final class NoHints implements LeaderHints {
  @Override
  public void cancelling() {}

  @Override
  public void changed() {}
}
