package org.ploverspindle.scalein;

import java.util.List;
import java.util.function.Consumer;

/**
 * The cloud's operation that terminates machines. It is idempotent: names of machines that the
 * cloud does not know are ignored.
 */
public interface TerminationClient {
  /** The largest number of machines that one request may name, by the cloud's protocol. */
  int MAX_MACHINES_PER_REQUEST = 100;

  /**
   * Terminates machines.
   *
   * @param hosts the names of the machines, at most {@link #MAX_MACHINES_PER_REQUEST}
   * @param callback called with true if the cloud confirmed that the machines and all tasks on them
   *     are gone; with false if the request may have been executed, or may still be executed
   */
  void terminate(List<String> hosts, Consumer<Boolean> callback);
}
