package org.ploverspindle.eventloop;

/** Work that can be stopped before its next run. */
@FunctionalInterface
public interface Cancellable {
  /** Prevents further runs. A second call has no effect. */
  void cancel();
}
