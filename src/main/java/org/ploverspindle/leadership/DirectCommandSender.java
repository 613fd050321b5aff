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
 * the limit on requests in flight is sent in the response to the machine's next heartbeat instead.
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
   * @param maxInFlight limit on requests in flight: each request needs its own connection, and the
   *     number of open sockets of the process is limited
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

  /** Ignores all replies from now on, as the term has ended. */
  void close() {
    closed = true;
  }

  /** Whether the limit on requests in flight allows another launch or token to be sent now. */
  boolean hasCapacity() {
    return inFlight < maxInFlight;
  }

  /**
   * Sends direct launches for high-priority tasks whose launch was not sent in a heartbeat
   * response, as the next heartbeat of their machine may be seconds away.
   *
   * @param durable placements whose record has just become durable
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
   * Sends direct stops to the machines of a cancelled job while less than half of the allowed
   * requests are in flight. The remaining machines get the stops in the response to their next
   * heartbeat.
   */
  void stopCancelled(Job cancelled) {
    Set<Machine> machines = new LinkedHashSet<>();
    cancelled.activePlacements().forEach(placement -> machines.add(placement.machine()));
    for (Machine machine : machines) {
      // The other half of the allowed requests is reserved for launches of high-priority jobs.
      if (inFlight >= maxInFlight / 2) {
        return;
      }
      directCommands.cancelledStops(machine).ifPresent(this::send);
    }
  }

  /** Sends the machine its fencing token of this term, in a request without commands. */
  void sendFencingToken(Machine machine, long workerEpoch) {
    send(
        new DirectCommands.Request(
            machine.address(), machine.fencingToken(), workerEpoch, List.of()));
  }

  private void send(DirectCommands.Request command) {
    inFlight++;
    workers.send(
        command.address(),
        command.fencingToken(),
        command.workerEpoch(),
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
