package org.ploverspindle.cluster;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Decides which commands may be sent directly to a machine, before its next heartbeat. Beside
 * {@link HeartbeatHandler} it is the only class that lets a launch out.
 */
public final class DirectCommands {
  /** Commands for one machine, with the token and agent epoch that they are bound to. */
  public record Request(
      String address, long fencingToken, long agentEpoch, List<WorkerCommand> commands) {
    private static Optional<Request> of(Machine machine, CommandBatch batch) {
      if (batch.commands().isEmpty()) {
        return Optional.empty();
      }
      return Optional.of(
          new Request(
              machine.address(), machine.fencingToken(), machine.agentEpoch(), batch.commands()));
    }
  }

  private final MachineRegistry registry;
  private final BooleanSupplier isAuthoritative;

  /**
   * @param isAuthoritative whether this leader's lease is certainly valid; while it is not, nothing
   *     is sent
   */
  public DirectCommands(MachineRegistry registry, BooleanSupplier isAuthoritative) {
    this.registry = registry;
    this.isAuthoritative = isAuthoritative;
  }

  /**
   * The launches on the machine whose intent is recorded and that were in no response yet, to be
   * sent at once. A direct launch may be executed late or twice: from here on the attempt counts as
   * possibly on the machine, until a heartbeat under a higher token does not show it or the agent
   * epoch ends.
   */
  public Optional<Request> launches(Machine machine, long nowMs) {
    // Without a higher token left, a late copy of the launch could not be made void.
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
        && placement.agentEpoch() == machine.agentEpoch()
        && placement.isWanted()
        && !machine.isTerminating();
  }

  /**
   * Stops for the tasks of cancelled jobs on the machine, to be sent at once: until the next
   * heartbeat they would run on, or even start, for nothing. Executed late or twice they do no
   * harm, whoever leads by then, as a cancellation is final. If a launch in flight arrives after
   * its stop, the next heartbeat shows it.
   */
  public Optional<Request> cancelledStops(Machine machine) {
    if (!canReceive(machine)) {
      return Optional.empty();
    }
    CommandBatch batch = new CommandBatch();
    for (Placement placement : machine.placements()) {
      if (placement.job().cancelled()
          && !placement.neverSent()
          && placement.agentEpoch() == machine.agentEpoch()) {
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
