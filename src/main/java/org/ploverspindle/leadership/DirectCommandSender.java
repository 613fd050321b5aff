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
 * Sends commands straight to workers where waiting for their next report would take too long, and
 * hands the report that each one answers with to the report handler. What finds no room among the
 * commands under way goes out in the answer to the machine's next report instead.
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
   * @param maxInFlight each command under way has a connection of its own, and sockets are counted
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

  /** From now on answers are dropped: they belong to a term that is over. */
  void close() {
    closed = true;
  }

  /** May another launch or announcement be sent now? */
  boolean hasCapacity() {
    return inFlight < maxInFlight;
  }

  /**
   * Launches what is pressing and was not sent in the answer to a report: the next report of its
   * machine may be seconds away.
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
   * Stops the tasks of a cancelled job at once, as far as connections allow; all other machines are
   * told in the answers to their reports.
   */
  void stopCancelled(Job cancelled) {
    Set<Machine> machines = new LinkedHashSet<>();
    cancelled.activePlacements().forEach(placement -> machines.add(placement.machine()));
    for (Machine machine : machines) {
      // Launches of pressing jobs have the other half to themselves.
      if (inFlight >= maxInFlight / 2) {
        return;
      }
      directCommands.cancelledStops(machine).ifPresent(this::send);
    }
  }

  /** Shows the machine its token in this term, without any order. */
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
