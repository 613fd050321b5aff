package org.ploverspindle.api;

import java.util.function.Consumer;

/**
 * Passes on the first value and ignores all later ones, for cases where a result and a timeout
 * compete. Must be used on the event loop only.
 */
final class FirstValueConsumer<T> implements Consumer<T> {
  private final Consumer<T> delegate;
  private boolean received;

  FirstValueConsumer(Consumer<T> delegate) {
    this.delegate = delegate;
  }

  @Override
  public void accept(T value) {
    if (!received) {
      received = true;
      delegate.accept(value);
    }
  }
}
