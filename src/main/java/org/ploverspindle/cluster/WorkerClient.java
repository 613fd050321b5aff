package org.ploverspindle.cluster;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Sends orders straight to a worker, instead of in the response to its report. */
public interface WorkerClient {
  /**
   * Sends orders. {@code then} is called with the worker's report after it took them, or with an
   * empty value when there was no response: the orders may have been executed, or may be executed
   * later.
   */
  void send(
      String address,
      long fencingToken,
      long agentEpoch,
      List<WorkerCommand> commands,
      Consumer<Optional<Heartbeat>> then);
}
