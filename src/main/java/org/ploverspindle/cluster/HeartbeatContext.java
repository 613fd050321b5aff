package org.ploverspindle.cluster;

import java.util.List;

/** A heartbeat that is being handled, and the commands that are collected for its response. */
final class HeartbeatContext {
  private final MachineRegistry registry;
  private final Machine machine;
  private final Heartbeat heartbeat;
  private final boolean underOwnToken;
  private final boolean direct;
  private final long nowMs;
  private final CommandBatch batch = new CommandBatch();

  /**
   * @param underOwnToken whether the agent had accepted a token of this term when it wrote the
   *     heartbeat
   * @param direct whether the heartbeat is the response to a direct command, so that no commands
   *     can be sent in response to it
   */
  HeartbeatContext(
      MachineRegistry registry,
      Machine machine,
      Heartbeat heartbeat,
      boolean underOwnToken,
      boolean direct,
      long nowMs) {
    this.registry = registry;
    this.machine = machine;
    this.heartbeat = heartbeat;
    this.underOwnToken = underOwnToken;
    this.direct = direct;
    this.nowMs = nowMs;
  }

  Machine machine() {
    return machine;
  }

  Heartbeat heartbeat() {
    return heartbeat;
  }

  boolean underOwnToken() {
    return underOwnToken;
  }

  boolean direct() {
    return direct;
  }

  long nowMs() {
    return nowMs;
  }

  /** The commands of the response so far. */
  List<WorkerCommand> commands() {
    return batch.commands();
  }

  /** Adds a command; false if it does not fit and has to go with a later response. */
  boolean addCommand(WorkerCommand command) {
    if (!batch.add(command)) {
      return false;
    }
    if (command instanceof WorkerCommand.Forget
        && machine.isDirectLaunchPending(command.attempt())) {
      // Once the agent has forgotten the attempt, a late copy of its direct launch would start it
      // again. The same response raises the token, under which the agent refuses that copy.
      machine.raiseFencingToken(registry.nextFencingToken());
    }
    return true;
  }
}
