package org.ploverspindle.eventloop;

import java.util.ArrayList;
import java.util.List;

/** A group of cancellable work: cancelling it cancels all, the last added first. */
public final class CancellableGroup implements Cancellable {
  private final List<Cancellable> cancellables = new ArrayList<>();

  /** Adds work that is cancelled with this group. */
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
