package org.ploverspindle.loop;

import java.util.ArrayList;
import java.util.List;

/** Parent of duties: closing it cancels them, the youngest first. */
public final class Scope implements Cancellable {
  private final List<Cancellable> children = new ArrayList<>();

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
