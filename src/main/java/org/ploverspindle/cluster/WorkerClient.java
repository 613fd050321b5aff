package org.ploverspindle.cluster;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Sends commands directly to a machine's agent, instead of in the response to its heartbeat. */
public interface WorkerClient {
  /**
   * Sends commands, which the agent executes only if the token is not lower than the highest that
   * it has received, and in this agent epoch.
   *
   * @param then called with the heartbeat that the agent responds with, or with an empty value if
   *     there was no response: then the commands may have been executed, or may yet be
   */
  void send(
      String address,
      long fencingToken,
      long agentEpoch,
      List<WorkerCommand> commands,
      Consumer<Optional<Heartbeat>> then);
}
