package org.ploverspindle.cluster;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Sends commands directly to a worker, instead of in the response to its heartbeat. */
public interface WorkerClient {
  /**
   * Sends commands. The worker executes them only if the fencing token is not lower than the
   * highest one that it has received, and only in the given worker epoch.
   *
   * @param callback called with the heartbeat that the worker responds with, or with an empty value
   *     if there was no response; without a response the commands may have been executed or may
   *     still be executed later
   */
  void send(
      String address,
      long fencingToken,
      long workerEpoch,
      List<WorkerCommand> commands,
      Consumer<Optional<Heartbeat>> callback);
}
