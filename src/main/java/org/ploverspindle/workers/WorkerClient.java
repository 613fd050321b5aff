package org.ploverspindle.workers;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Commands that go straight to a worker. */
public interface WorkerClient {
  /**
   * Calls with the worker's report after the commands, or with nothing when none came: the commands
   * may have been executed, or may be later.
   */
  void order(
      String address, long token, long tenure, List<Order> orders, Consumer<Optional<Report>> then);
}
