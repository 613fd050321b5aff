package org.ploverspindle.leadership;

import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.eventloop.WorkTimings;

/** Processes heartbeats and responds to each of them, at once or after a short delay. */
final class HeartbeatIntake {
  private final MachineRegistry machines;
  private final HeartbeatHandler heartbeatHandler;
  private final AuthorityFilter authority;
  private final DelayedResponses delayedResponses;
  private final SpotDrain spotDrain;
  private final LeaderConnectivity connectivity;
  private final WorkTimings timings;

  HeartbeatIntake(
      MachineRegistry machines,
      HeartbeatHandler heartbeatHandler,
      AuthorityFilter authority,
      DelayedResponses delayedResponses,
      SpotDrain spotDrain,
      LeaderConnectivity connectivity,
      WorkTimings timings) {
    this.machines = machines;
    this.heartbeatHandler = heartbeatHandler;
    this.authority = authority;
    this.delayedResponses = delayedResponses;
    this.spotDrain = spotDrain;
    this.connectivity = connectivity;
    this.timings = timings;
  }

  /**
   * Processes a heartbeat and responds with commands, at once or after a delay. If the response to
   * an earlier heartbeat of the machine is still delayed, that response is sent first.
   */
  void accept(Heartbeat heartbeat, long nowMs, Consumer<HeartbeatHandler.Response> responder) {
    delayedResponses.release(heartbeat.host());
    connectivity.recordHeartbeat(nowMs);
    HeartbeatHandler.Response response =
        timings.call("heartbeats", () -> heartbeatHandler.handle(heartbeat, nowMs));
    Optional<Machine> machine = machines.get(heartbeat.host());
    if (heartbeat.spotNoticeS().isPresent()) {
      machine.ifPresent(reclaimed -> spotDrain.drain(reclaimed, nowMs));
    }
    if (!authority.isAuthoritative()) {
      responder.accept(authority.cancellationStopsOnly(response));
    } else if (response.commands().isEmpty()
        && machine.isPresent()
        && delayedResponses.shouldDelay(machine.get(), heartbeat, nowMs)) {
      delayedResponses.delay(heartbeat, responder, nowMs);
    } else {
      responder.accept(response);
    }
  }
}
