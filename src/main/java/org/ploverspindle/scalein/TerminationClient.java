package org.ploverspindle.scalein;

import java.util.List;
import java.util.function.Consumer;

/** The operation of the cloud that ends a machine. It is idempotent: unknown names are ignored. */
public interface TerminationClient {
  /** Names in one request, by the cloud's protocol. */
  int MAX_HOSTS_PER_RELEASE = 100;

  /**
   * Returns machines. True means that they and all tasks on them are gone; false that the request
   * may or may not have been executed, or may yet be.
   */
  void terminate(List<String> hosts, Consumer<Boolean> then);
}
