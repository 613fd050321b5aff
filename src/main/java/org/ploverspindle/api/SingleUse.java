package org.ploverspindle.api;

import java.util.function.Consumer;

/**
 * Passes on the first value and ignores all others, where a result and a timeout compete. For use
 * on the event loop alone.
 */
final class SingleUse<T> implements Consumer<T> {
  private final Consumer<T> target;
  private boolean used;

  SingleUse(Consumer<T> target) {
    this.target = target;
  }

  @Override
  public void accept(T value) {
    if (!used) {
      used = true;
      target.accept(value);
    }
  }
}
