package org.ploverspindle.cluster;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** Says which orders may go straight to a machine, before its next report. */
public final class DirectCommands {
  /** Orders for one machine, and what they are sent with. */
  public record Request(
      String address, long fencingToken, long agentEpoch, List<WorkerCommand> commands) {
    static Optional<Request> of(Machine machine, CommandBatch batch) {
      return batch.commands().isEmpty()
          ? Optional.empty()
          : Optional.of(
              new Request(
                  machine.address(),
                  machine.fencingToken(),
                  machine.agentEpoch(),
                  batch.commands()));
    }
  }

  private final MachineRegistry registry;
  private final BooleanSupplier isAuthoritative;

  /**
   * @param isAuthoritative whether this leader is sure of its lead: without it nothing is ordered
   */
  public DirectCommands(MachineRegistry registry, BooleanSupplier isAuthoritative) {
    this.registry = registry;
    this.isAuthoritative = isAuthoritative;
  }

  /**
   * Launches on the machine that are recorded and were in no answer yet, to go straight to it. A
   * launch that goes this way may be executed late, so from here on the attempt counts as possibly
   * there until a report shows otherwise under a higher token, or the session ends.
   */
  public Optional<Request> launches(Machine machine, long nowMs) {
    // Without tokens to spare a late copy of the launch could not be made void.
    if (!canReceive(machine) || !registry.hasFencingTokensLeft()) {
      return Optional.empty();
    }
    CommandBatch batch = new CommandBatch();
    for (Placement placement : machine.placements()) {
      if (isLaunchable(machine, placement)
          && batch.add(
              new WorkerCommand.Launch(
                  placement.job().uid(), placement.task(), placement.attempt()))) {
        placement.markSentDirectly(machine.fencingToken(), nowMs);
        machine.recordDirectLaunch(placement.attempt());
      }
    }
    return Request.of(machine, batch);
  }

  private static boolean isLaunchable(Machine machine, Placement placement) {
    return placement.phase() == Placement.Phase.READY
        && placement.agentEpoch() == machine.agentEpoch()
        && !placement.job().isTerminal()
        && !placement.stopping()
        && !machine.isTerminating();
  }

  /**
   * Stops of cancelled jobs' tasks, to go straight to their machine: until its next report they
   * would run on, or even begin, for nobody. Executed late or twice they do no harm, whoever leads
   * by then, as a cancellation is never taken back; that a launch still in flight comes after them
   * is seen in the next report.
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
        batch.add(
            new WorkerCommand.Stop(
                placement.job().uid(), placement.task(), placement.attempt(), 0));
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
