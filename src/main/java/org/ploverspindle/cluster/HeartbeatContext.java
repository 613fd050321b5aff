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
    return batch.add(command);
  }

  /**
   * Adds the command by which the worker forgets an exited attempt, if it fits.
   *
   * <p>Once the worker has forgotten the attempt, a late copy of its launch would start the attempt
   * again, while the task runs elsewhere or its job is cancelled. The response with the command
   * therefore also carries a raised fencing token, under which the worker rejects that copy. No
   * copy of a launch in a response is known to arrive, so an attempt that was launched by a
   * response and has completed needs no higher token: its task is placed nowhere else.
   */
  void addForget(Heartbeat.TaskStatus status) {
    boolean added =
        batch.add(new WorkerCommand.Forget(status.uid(), status.task(), status.attempt()));
    boolean completed = status.exitReason() == Heartbeat.ExitReason.DONE;
    if (added && (!completed || machine.isDirectLaunchPending(status.attempt()))) {
      machine.raiseFencingToken(registry.nextFencingToken());
    }
  }
}
