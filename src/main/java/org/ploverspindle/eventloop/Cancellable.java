package org.ploverspindle.eventloop;

/** Work that can be stopped before its next run. */
@FunctionalInterface
public interface Cancellable {
  /** Stops further runs. Cancelling twice is allowed. */
  void cancel();
}
