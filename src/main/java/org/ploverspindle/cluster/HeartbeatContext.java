package org.ploverspindle.cluster;

import java.util.List;

/** A heartbeat that is being handled, and the commands collected so far for its response. */
final class HeartbeatContext {
  private final MachineRegistry registry;
  private final Machine machine;
  private final Heartbeat heartbeat;
  private final boolean hasTokenOfTerm;
  private final boolean isDirectResponse;
  private final long nowMs;
  private final CommandBatch batch = new CommandBatch();

  /**
   * @param hasTokenOfTerm whether the worker had accepted a fencing token of this term when it
   *     wrote the heartbeat
   * @param isDirectResponse whether the heartbeat is the response to a direct command, in which
   *     case no commands can be sent in reply
   */
  HeartbeatContext(
      MachineRegistry registry,
      Machine machine,
      Heartbeat heartbeat,
      boolean hasTokenOfTerm,
      boolean isDirectResponse,
      long nowMs) {
    this.registry = registry;
    this.machine = machine;
    this.heartbeat = heartbeat;
    this.hasTokenOfTerm = hasTokenOfTerm;
    this.isDirectResponse = isDirectResponse;
    this.nowMs = nowMs;
  }

  Machine machine() {
    return machine;
  }

  Heartbeat heartbeat() {
    return heartbeat;
  }

  boolean hasTokenOfTerm() {
    return hasTokenOfTerm;
  }

  boolean isDirectResponse() {
    return isDirectResponse;
  }

  long nowMs() {
    return nowMs;
  }

  /** The commands collected so far: a live, unmodifiable view. */
  List<WorkerCommand> commands() {
    return batch.commands();
  }

  /**
   * Adds a command and returns true, or returns false if the command does not fit and has to be
   * sent in a later response.
   */
  boolean addCommand(WorkerCommand command) {
    if (!batch.add(command)) {
      return false;
    }
    if (command instanceof WorkerCommand.Forget
        && machine.isDirectLaunchPending(command.attempt())) {
      // Once the worker has forgotten the attempt, a late copy of its direct launch would start the
      // attempt again. The response with the forget command also carries a raised fencing token,
      // under which the worker rejects that copy.
      machine.raiseFencingToken(registry.nextFencingToken());
    }
    return true;
  }
}
