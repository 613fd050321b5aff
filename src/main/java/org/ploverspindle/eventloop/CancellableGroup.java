package org.ploverspindle.eventloop;

import java.util.ArrayList;
import java.util.List;

/** Work that is cancelled together, in the reverse order in which it was added. */
public final class CancellableGroup implements Cancellable {
  private final List<Cancellable> cancellables = new ArrayList<>();

  /** Adds work that the next {@link #cancel} of this group cancels. */
  public void add(Cancellable cancellable) {
    cancellables.add(cancellable);
  }

  @Override
  public void cancel() {
    for (int i = cancellables.size() - 1; i >= 0; i--) {
      cancellables.get(i).cancel();
    }
    cancellables.clear();
  }
}
