package org.ploverspindle.loop;

/** Something that can be told not to run (again). */
@FunctionalInterface
public interface Cancellable {
  void cancel();
}
