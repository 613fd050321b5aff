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
 * Answers to reports that wait a moment, because their machine has room: what is placed there by
 * then goes out in them, where it would wait for the next report. At most one is held for each
 * machine.
 */
final class DelayedResponses {
  /** A report whose answer waits for orders to become durable. */
  private record DelayedResponse(
      Heartbeat heartbeat, Consumer<HeartbeatHandler.Response> responder, long releaseAtMs) {}

  private final Scheduler scheduler;
  private final MachineRegistry machines;
  private final HeartbeatHandler heartbeatHandler;
  private final BooleanSupplier isAuthoritative;
  private final long maxDelayMs;
  private final Map<String, DelayedResponse> delayed = new LinkedHashMap<>();

  /**
   * @param isAuthoritative whether this leader is sure of its lead: without it nothing is ordered
   * @param maxDelayMs how long an answer waits at most
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

  /** Is the report the machine's newest, and could a task be placed there within the wait? */
  boolean isWorthDelaying(Machine machine, Heartbeat heartbeat, long nowMs) {
    return machine.lastSequence() == heartbeat.sequence()
        && machine.agentEpoch() == heartbeat.agentEpoch()
        && machine.isSchedulable(nowMs, maxDelayMs)
        && machine.free().cores() > 0;
  }

  /** Holds the answer until orders for the machine are durable, or the wait is over. */
  void delay(Heartbeat heartbeat, Consumer<HeartbeatHandler.Response> responder, long nowMs) {
    delayed.put(heartbeat.host(), new DelayedResponse(heartbeat, responder, nowMs + maxDelayMs));
  }

  /** Answers the machine's earlier report, if its answer is held, with what can be ordered now. */
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

  /** Answers what was held for long enough, or for what has now become durable. */
  void releaseDue() {
    long nowMs = scheduler.nowMs();
    for (DelayedResponse response : List.copyOf(delayed.values())) {
      String host = response.heartbeat().host();
      if (hasCommands(host) || nowMs >= response.releaseAtMs() || !isAuthoritative.getAsBoolean()) {
        release(host);
      }
    }
  }

  /** Answers all that is held. */
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
        || !placement.neverSent() && (placement.stopping() || placement.job().isTerminal());
  }
}
