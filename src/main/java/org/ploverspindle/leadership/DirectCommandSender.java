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
  private final DirectCommands directOrders;
  private final HeartbeatHandler reportHandler;
  private final int mostUnderWay;
  private int underWay;
  private boolean closed;

  /**
   * @param mostUnderWay each command under way has a connection of its own, and sockets are counted
   */
  DirectCommandSender(
      int mostUnderWay,
      Scheduler scheduler,
      WorkerClient workers,
      DirectCommands directOrders,
      HeartbeatHandler reportHandler) {
    this.mostUnderWay = mostUnderWay;
    this.scheduler = scheduler;
    this.workers = workers;
    this.directOrders = directOrders;
    this.reportHandler = reportHandler;
  }

  /** From now on answers are dropped: they belong to a term that is over. */
  void close() {
    closed = true;
  }

  /** May another launch or announcement be sent now? */
  boolean hasRoom() {
    return underWay < mostUnderWay;
  }

  /**
   * Launches what is pressing and was not sent in the answer to a report: the next report of its
   * machine may be seconds away.
   *
   * @param durable placements whose intent has just become durable
   */
  void launch(List<Placement> durable) {
    Set<Machine> machines = new LinkedHashSet<>();
    for (Placement placement : durable) {
      if (placement.phase() == Placement.Phase.READY
          && placement.job().priority().compareTo(Priority.HIGH) <= 0) {
        machines.add(placement.machine());
      }
    }
    for (Machine machine : machines) {
      if (!hasRoom()) {
        return;
      }
      directOrders.launches(machine, scheduler.nowMs()).ifPresent(this::send);
    }
  }

  /**
   * Stops the tasks of a cancelled job at once, as far as connections allow; all other machines are
   * told in the answers to their reports.
   */
  void stop(Job cancelled) {
    Set<Machine> machines = new LinkedHashSet<>();
    cancelled.activePlacements().forEach(placement -> machines.add(placement.machine()));
    for (Machine machine : machines) {
      // Launches of pressing jobs have the other half to themselves.
      if (underWay >= mostUnderWay / 2) {
        return;
      }
      directOrders.cancelledStops(machine).ifPresent(this::send);
    }
  }

  /** Shows the machine its token in this term, without any order. */
  void announceToken(Machine machine, long tenure) {
    send(new DirectCommands.Request(machine.address(), machine.fencingToken(), tenure, List.of()));
  }

  private void send(DirectCommands.Request command) {
    underWay++;
    workers.send(
        command.address(),
        command.fencingToken(),
        command.agentEpoch(),
        command.commands(),
        answer -> {
          underWay--;
          if (!closed) {
            answer.ifPresent(
                report -> reportHandler.handleDirectResponse(report, scheduler.nowMs()));
          }
        });
  }
}
