package org.ploverspindle.eventloop;

import java.util.ArrayList;
import java.util.List;

/** A group of cancellable work: cancelling it cancels all, the last added first. */
public final class CancellableGroup implements Cancellable {
  private final List<Cancellable> members = new ArrayList<>();

  /** Adds work that is cancelled with this group. */
  public void add(Cancellable member) {
    members.add(member);
  }

  @Override
  public void cancel() {
    for (int i = members.size() - 1; i >= 0; i--) {
      members.get(i).cancel();
    }
    members.clear();
  }
}
