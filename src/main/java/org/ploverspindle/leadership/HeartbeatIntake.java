package org.ploverspindle.leadership;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.WorkerCommand;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.eventloop.TaskTimings;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.Replica;

/** Takes workers' reports in and sees that each is answered, at once or after a moment. */
final class HeartbeatIntake {
  private final Scheduler scheduler;
  private final Replica replica;
  private final MachineRegistry fleet;
  private final HeartbeatHandler reportHandler;
  private final DelayedResponses heldReplies;
  private final SpotDrain spotDrain;
  private final LeaderConnectivity reachability;
  private final TaskTimings times;
  private final BooleanSupplier mayDecide;

  /**
   * @param mayDecide whether this leader is sure of its lead
   */
  HeartbeatIntake(
      Scheduler scheduler,
      Replica replica,
      MachineRegistry fleet,
      HeartbeatHandler reportHandler,
      DelayedResponses heldReplies,
      SpotDrain spotDrain,
      LeaderConnectivity reachability,
      TaskTimings times,
      BooleanSupplier mayDecide) {
    this.scheduler = scheduler;
    this.replica = replica;
    this.fleet = fleet;
    this.reportHandler = reportHandler;
    this.heldReplies = heldReplies;
    this.spotDrain = spotDrain;
    this.reachability = reachability;
    this.times = times;
    this.mayDecide = mayDecide;
  }

  /**
   * Takes a report in and answers with orders, at the latest when the wait of a held answer is
   * over. The machine's earlier report is answered first, if its answer is held.
   */
  void accept(Heartbeat report, Consumer<HeartbeatHandler.Response> then) {
    heldReplies.release(report.host());
    long nowMs = scheduler.nowMs();
    reachability.recordHeartbeat(nowMs);
    HeartbeatHandler.Response reply =
        times.call("reports", () -> reportHandler.handle(report, nowMs));
    Optional<Machine> machine = fleet.get(report.host());
    if (report.spotNoticeS().isPresent()) {
      machine.ifPresent(recalled -> spotDrain.drain(recalled, nowMs));
    }
    if (!mayDecide.getAsBoolean()) {
      then.accept(finalStops(reply));
    } else if (reply.commands().isEmpty()
        && machine.isPresent()
        && heldReplies.isWorthDelaying(machine.get(), report, nowMs)) {
      heldReplies.delay(report, then, nowMs);
    } else {
      then.accept(reply);
    }
  }

  /**
   * Without a sure lead nothing is decided; but a cancellation that is known is final, whoever
   * leads. A leader that lost the state service before it had stopped a cancelled job's tasks would
   * otherwise keep their leases alive until too late.
   */
  private HeartbeatHandler.Response finalStops(HeartbeatHandler.Response reply) {
    return new HeartbeatHandler.Response(
        reply.fencingToken(), reply.commands().stream().filter(this::isFinalStop).toList());
  }

  private boolean isFinalStop(WorkerCommand order) {
    return order instanceof WorkerCommand.Stop
        && replica.get(Keys.cancellation(order.uid())).isPresent();
  }
}
