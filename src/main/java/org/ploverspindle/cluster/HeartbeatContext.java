package org.ploverspindle.cluster;

import java.util.List;

/** A report while it is taken in, and the orders that answer it. */
final class HeartbeatContext {
  private final MachineRegistry fleet;
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
      MachineRegistry fleet,
      Machine machine,
      Heartbeat report,
      boolean ours,
      boolean direct,
      long nowMs) {
    this.fleet = fleet;
    this.machine = machine;
    this.heartbeat = report;
    this.underOwnToken = ours;
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
  boolean addCommand(WorkerCommand order) {
    if (!batch.add(order)) {
      return false;
    }
    if (order instanceof WorkerCommand.Forget && machine.isDirectLaunchPending(order.attempt())) {
      // Once forgotten, a late copy of the launch would start it again: the same answer raises
      // the token, under which that copy is void.
      machine.raiseFencingToken(fleet.nextFencingToken());
    }
    return true;
  }
}
