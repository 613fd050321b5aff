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
  private final MachineRegistry machines;
  private final HeartbeatHandler heartbeatHandler;
  private final DelayedResponses delayedResponses;
  private final SpotDrain spotDrain;
  private final LeaderConnectivity connectivity;
  private final TaskTimings timings;
  private final BooleanSupplier isAuthoritative;

  /**
   * @param isAuthoritative whether this leader is sure of its lead
   */
  HeartbeatIntake(
      Scheduler scheduler,
      Replica replica,
      MachineRegistry machines,
      HeartbeatHandler heartbeatHandler,
      DelayedResponses delayedResponses,
      SpotDrain spotDrain,
      LeaderConnectivity connectivity,
      TaskTimings timings,
      BooleanSupplier isAuthoritative) {
    this.scheduler = scheduler;
    this.replica = replica;
    this.machines = machines;
    this.heartbeatHandler = heartbeatHandler;
    this.delayedResponses = delayedResponses;
    this.spotDrain = spotDrain;
    this.connectivity = connectivity;
    this.timings = timings;
    this.isAuthoritative = isAuthoritative;
  }

  /**
   * Takes a report in and answers with orders, at the latest when the wait of a held answer is
   * over. The machine's earlier report is answered first, if its answer is held.
   */
  void accept(Heartbeat heartbeat, Consumer<HeartbeatHandler.Response> responder) {
    delayedResponses.release(heartbeat.host());
    long nowMs = scheduler.nowMs();
    connectivity.recordHeartbeat(nowMs);
    HeartbeatHandler.Response response =
        timings.call("reports", () -> heartbeatHandler.handle(heartbeat, nowMs));
    Optional<Machine> machine = machines.get(heartbeat.host());
    if (heartbeat.spotNoticeS().isPresent()) {
      machine.ifPresent(recalled -> spotDrain.drain(recalled, nowMs));
    }
    if (!isAuthoritative.getAsBoolean()) {
      responder.accept(finalStops(response));
    } else if (response.commands().isEmpty()
        && machine.isPresent()
        && delayedResponses.isWorthDelaying(machine.get(), heartbeat, nowMs)) {
      delayedResponses.delay(heartbeat, responder, nowMs);
    } else {
      responder.accept(response);
    }
  }

  /**
   * Without a sure lead nothing is decided; but a cancellation that is known is final, whoever
   * leads. A leader that lost the state service before it had stopped a cancelled job's tasks would
   * otherwise keep their leases alive until too late.
   */
  private HeartbeatHandler.Response finalStops(HeartbeatHandler.Response response) {
    return new HeartbeatHandler.Response(
        response.fencingToken(), response.commands().stream().filter(this::isFinalStop).toList());
  }

  private boolean isFinalStop(WorkerCommand command) {
    return command instanceof WorkerCommand.Stop
        && replica.get(Keys.cancellation(command.uid())).isPresent();
  }
}
