package org.ploverspindle.leadership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.eventloop.Scheduler;

/**
 * Delays responses to heartbeats of machines with free resources: what is placed there meanwhile
 * goes out in them, where it would otherwise wait for the next heartbeat. At most one response is
 * delayed for each machine.
 */
final class DelayedResponses {
  /** A heartbeat whose response waits for placements to become durable. */
  private record DelayedResponse(
      Heartbeat heartbeat, Consumer<HeartbeatHandler.Response> responder, long releaseAtMs) {}

  private final Scheduler scheduler;
  private final MachineRegistry machines;
  private final HeartbeatHandler heartbeatHandler;
  private final BooleanSupplier isAuthoritative;
  private final long maxDelayMs;
  private final Map<String, DelayedResponse> delayed = new LinkedHashMap<>();

  /**
   * @param isAuthoritative whether this leader may decide now: otherwise nothing is launched
   * @param maxDelayMs how long a response waits at most
   */
  DelayedResponses(
      Scheduler scheduler,
      MachineRegistry machines,
      HeartbeatHandler heartbeatHandler,
      BooleanSupplier isAuthoritative,
      long maxDelayMs) {
    this.scheduler = scheduler;
    this.machines = machines;
    this.heartbeatHandler = heartbeatHandler;
    this.isAuthoritative = isAuthoritative;
    this.maxDelayMs = maxDelayMs;
  }

  /** Is this the machine's newest heartbeat, and could a task be placed there meanwhile? */
  boolean isWorthDelaying(Machine machine, Heartbeat heartbeat, long nowMs) {
    return machine.lastSequence() == heartbeat.sequence()
        && machine.agentEpoch() == heartbeat.agentEpoch()
        && machine.isSchedulable(nowMs, maxDelayMs)
        && machine.free().cores() > 0;
  }

  /** Delays the response until commands for the machine are durable, or the delay is over. */
  void delay(Heartbeat heartbeat, Consumer<HeartbeatHandler.Response> responder, long nowMs) {
    delayed.put(heartbeat.host(), new DelayedResponse(heartbeat, responder, nowMs + maxDelayMs));
  }

  /** Sends the machine's delayed response, if there is one, with the commands that can go now. */
  void release(String host) {
    DelayedResponse response = delayed.remove(host);
    if (response != null) {
      response
          .responder()
          .accept(
              isAuthoritative.getAsBoolean()
                  ? heartbeatHandler.handleDelayed(response.heartbeat(), scheduler.nowMs())
                  : heartbeatHandler.emptyResponse(host));
    }
  }

  /** Sends the responses whose delay is over, or whose commands have become durable. */
  void releaseDue() {
    long nowMs = scheduler.nowMs();
    for (DelayedResponse response : List.copyOf(delayed.values())) {
      String host = response.heartbeat().host();
      if (hasCommands(host) || nowMs >= response.releaseAtMs() || !isAuthoritative.getAsBoolean()) {
        release(host);
      }
    }
  }

  /** Sends all delayed responses. */
  void releaseAll() {
    List.copyOf(delayed.keySet()).forEach(this::release);
  }

  private boolean hasCommands(String host) {
    return machines
        .get(host)
        .map(machine -> machine.placements().stream().anyMatch(DelayedResponses::hasCommand))
        .orElse(true);
  }

  private static boolean hasCommand(Placement placement) {
    return placement.phase() == Placement.Phase.READY
        || !placement.neverSent() && (placement.isStopping() || placement.job().isTerminal());
  }
}
