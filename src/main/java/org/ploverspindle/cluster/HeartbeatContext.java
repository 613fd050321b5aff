package org.ploverspindle.cluster;

import java.util.List;

/** A report while it is taken in, and the orders that answer it. */
final class HeartbeatContext {
  private final MachineRegistry registry;
  private final Machine machine;
  private final Heartbeat heartbeat;
  private final boolean underOwnToken;
  private final boolean direct;
  private final long nowMs;
  private final CommandBatch batch = new CommandBatch();

  /**
   * @param underOwnToken whether the worker had taken a token of this term when it reported
   * @param direct whether the report answers a direct command: it can't be answered itself
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

  /** The answer's orders so far. */
  List<WorkerCommand> commands() {
    return batch.commands();
  }

  /** Adds an order to the answer; false if it does not fit and must wait for a later one. */
  boolean addCommand(WorkerCommand command) {
    if (!batch.add(command)) {
      return false;
    }
    if (command instanceof WorkerCommand.Forget
        && machine.isDirectLaunchPending(command.attempt())) {
      // Once forgotten, a late copy of the launch would start it again: the same answer raises
      // the token, under which that copy is void.
      machine.raiseFencingToken(registry.nextFencingToken());
    }
    return true;
  }
}
