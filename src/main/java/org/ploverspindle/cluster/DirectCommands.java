package org.ploverspindle.cluster;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Decides which commands may be sent directly to a worker, without waiting for its next heartbeat.
 * Only this class and {@link HeartbeatHandler} send launches.
 */
public final class DirectCommands {
  /** Commands for one machine, valid only under the fencing token and in the worker epoch given. */
  public record Request(
      String address, long fencingToken, long workerEpoch, List<WorkerCommand> commands) {
    private static Optional<Request> of(Machine machine, CommandBatch batch) {
      if (batch.commands().isEmpty()) {
        return Optional.empty();
      }
      return Optional.of(
          new Request(
              machine.address(), machine.fencingToken(), machine.workerEpoch(), batch.commands()));
    }
  }

  private final MachineRegistry registry;
  private final BooleanSupplier isAuthoritative;

  /**
   * @param isAuthoritative whether this leader's lease is certainly valid; no direct command is
   *     sent while it is not
   */
  public DirectCommands(MachineRegistry registry, BooleanSupplier isAuthoritative) {
    this.registry = registry;
    this.isAuthoritative = isAuthoritative;
  }

  /**
   * Returns the launches to send directly to the machine: those whose placement is recorded and
   * that no response in flight carries. A direct launch may be executed late or twice. From this
   * call on, the attempt therefore counts as possibly on the machine, until a heartbeat under a
   * higher fencing token does not list it or the worker epoch ends.
   */
  public Optional<Request> launches(Machine machine, long nowMs) {
    // Only a higher fencing token can invalidate a late copy of a direct launch, so no launch is
    // sent directly once the tokens of the term are nearly used up.
    if (!canReceive(machine) || !registry.hasFencingTokensLeft()) {
      return Optional.empty();
    }
    CommandBatch batch = new CommandBatch();
    for (Placement placement : machine.placements()) {
      if (isLaunchable(machine, placement) && batch.add(placement.launchCommand())) {
        placement.markSentDirectly(machine.fencingToken(), nowMs);
        machine.recordDirectLaunch(placement.attempt());
      }
    }
    return Request.of(machine, batch);
  }

  private static boolean isLaunchable(Machine machine, Placement placement) {
    return placement.phase() == Placement.Phase.READY
        && placement.workerEpoch() == machine.workerEpoch()
        && placement.shouldRun()
        && !machine.isTerminating();
  }

  /**
   * Returns the stops to send directly to the machine for the tasks of cancelled jobs. Without them
   * these tasks would run on, or even start, until the next heartbeat. A stop that is executed late
   * or twice does no harm, even if another controller leads by then, because a cancellation is
   * final. If a launch in flight arrives after the stop, the next heartbeat lists the attempt.
   */
  public Optional<Request> cancelledStops(Machine machine) {
    if (!canReceive(machine)) {
      return Optional.empty();
    }
    CommandBatch batch = new CommandBatch();
    for (Placement placement : machine.placements()) {
      if (placement.job().cancelled()
          && !placement.isNeverSent()
          && placement.workerEpoch() == machine.workerEpoch()) {
        batch.add(placement.stopCommand());
      }
    }
    return Request.of(machine, batch);
  }

  private boolean canReceive(Machine machine) {
    return machine.receivesCommands()
        && !machine.address().isEmpty()
        && isAuthoritative.getAsBoolean();
  }
}
