package org.ploverspindle.leadership;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.ploverspindle.cluster.DirectCommands;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.WorkerClient;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Priority;

/**
 * Sends commands directly to workers where waiting for their next heartbeat would take too long,
 * and passes the heartbeat in each worker's reply to the heartbeat handler. A command that exceeds
 * the limit on requests in flight goes out in the response to the machine's next heartbeat instead.
 */
final class DirectCommandSender {
  private final Scheduler scheduler;
  private final WorkerClient workers;
  private final DirectCommands directCommands;
  private final HeartbeatHandler heartbeatHandler;
  private final int maxInFlight;
  private int inFlight;
  private boolean closed;

  /**
   * @param maxInFlight limit on requests in flight: each needs a connection of its own, and the
   *     process has a limit on open sockets
   */
  DirectCommandSender(
      int maxInFlight,
      Scheduler scheduler,
      WorkerClient workers,
      DirectCommands directCommands,
      HeartbeatHandler heartbeatHandler) {
    this.maxInFlight = maxInFlight;
    this.scheduler = scheduler;
    this.workers = workers;
    this.directCommands = directCommands;
    this.heartbeatHandler = heartbeatHandler;
  }

  /** From now on replies are ignored: they belong to a term that is over. */
  void close() {
    closed = true;
  }

  /** May another launch or token be sent now? */
  boolean hasCapacity() {
    return inFlight < maxInFlight;
  }

  /**
   * Launches the high-priority tasks that were not sent in a heartbeat response: the next heartbeat
   * of their machine may be seconds away.
   *
   * @param durable placements whose intent has just become durable
   */
  void launchHighPriority(List<Placement> durable) {
    Set<Machine> machines = new LinkedHashSet<>();
    for (Placement placement : durable) {
      if (placement.phase() == Placement.Phase.READY
          && placement.job().priority().compareTo(Priority.HIGH) <= 0) {
        machines.add(placement.machine());
      }
    }
    for (Machine machine : machines) {
      if (!hasCapacity()) {
        return;
      }
      directCommands.launches(machine, scheduler.nowMs()).ifPresent(this::send);
    }
  }

  /**
   * Stops the tasks of a cancelled job at once, as far as connections allow; all other machines get
   * the command in their next heartbeat response.
   */
  void stopCancelled(Job cancelled) {
    Set<Machine> machines = new LinkedHashSet<>();
    cancelled.activePlacements().forEach(placement -> machines.add(placement.machine()));
    for (Machine machine : machines) {
      // The other half is reserved for launches of high-priority jobs.
      if (inFlight >= maxInFlight / 2) {
        return;
      }
      directCommands.cancelledStops(machine).ifPresent(this::send);
    }
  }

  /** Sends the machine its fencing token in this term, without any command. */
  void sendFencingToken(Machine machine, long agentEpoch) {
    send(
        new DirectCommands.Request(
            machine.address(), machine.fencingToken(), agentEpoch, List.of()));
  }

  private void send(DirectCommands.Request command) {
    inFlight++;
    workers.send(
        command.address(),
        command.fencingToken(),
        command.agentEpoch(),
        command.commands(),
        response -> {
          inFlight--;
          if (!closed) {
            response.ifPresent(
                heartbeat -> heartbeatHandler.handleDirectResponse(heartbeat, scheduler.nowMs()));
          }
        });
  }
}
