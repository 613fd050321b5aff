package org.ploverspindle.eventloop;

import java.util.ArrayList;
import java.util.List;

/** A group of cancellable work: cancelling it cancels all, the last added first. */
public final class CancellableGroup implements Cancellable {
  private final List<Cancellable> children = new ArrayList<>();

  /** Adds work that ends with this scope. */
  public void add(Cancellable child) {
    children.add(child);
  }

  @Override
  public void cancel() {
    for (int i = children.size() - 1; i >= 0; i--) {
      children.get(i).cancel();
    }
    children.clear();
  }
}
