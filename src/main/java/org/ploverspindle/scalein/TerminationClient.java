package org.ploverspindle.scalein;

import java.util.List;
import java.util.function.Consumer;

/** The operation of the cloud that ends machines. It is idempotent: unknown names are ignored. */
public interface TerminationClient {
  /** How many machines one request may name, by the cloud's protocol. */
  int MAX_HOSTS_PER_RELEASE = 100;

  /**
   * Terminates machines.
   *
   * @param hosts at most {@link #MAX_HOSTS_PER_RELEASE}
   * @param then called with true when the cloud confirmed that the machines and all tasks on them
   *     are gone; with false when the request may have been executed, or may yet be
   */
  void terminate(List<String> hosts, Consumer<Boolean> then);
}
