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
 * Delays responses to heartbeats of machines with free resources. Tasks that are placed on such a
 * machine during the delay are launched by the delayed response; otherwise their launch would wait
 * for the machine's next heartbeat. At most one response is delayed for each machine.
 */
final class DelayedResponses {
  /**
   * A heartbeat whose response is sent once a command for the machine may be sent, or at {@code
   * releaseAtMs} on the steady clock.
   */
  private record DelayedResponse(
      Heartbeat heartbeat, Consumer<HeartbeatHandler.Response> responder, long releaseAtMs) {}

  private final Scheduler scheduler;
  private final MachineRegistry machines;
  private final HeartbeatHandler heartbeatHandler;
  private final BooleanSupplier isAuthoritative;
  private final long maxDelayMs;
  private final Map<String, DelayedResponse> delayedByHost = new LinkedHashMap<>();

  /**
   * @param isAuthoritative whether this leader's lease is certainly valid; while it is not, delayed
   *     responses are sent without commands
   * @param maxDelayMs the longest delay of a response, in milliseconds
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

  /**
   * Whether the response is to be delayed: the heartbeat is the latest one of the machine, and a
   * task could be placed on the machine during the delay.
   */
  boolean shouldDelay(Machine machine, Heartbeat heartbeat, long nowMs) {
    return machine.lastSequence() == heartbeat.sequence()
        && machine.workerEpoch() == heartbeat.workerEpoch()
        && machine.isSchedulable(nowMs, maxDelayMs)
        && machine.free().cores() > 0;
  }

  /** Delays the response until a command for the machine may be sent or the longest delay ends. */
  void delay(Heartbeat heartbeat, Consumer<HeartbeatHandler.Response> responder, long nowMs) {
    delayedByHost.put(
        heartbeat.host(), new DelayedResponse(heartbeat, responder, nowMs + maxDelayMs));
  }

  /** Sends the machine's delayed response, if there is one, with the commands that may be sent. */
  void release(String host) {
    DelayedResponse response = delayedByHost.remove(host);
    if (response != null) {
      response
          .responder()
          .accept(
              isAuthoritative.getAsBoolean()
                  ? heartbeatHandler.handleDelayed(response.heartbeat(), scheduler.nowMs())
                  : heartbeatHandler.emptyResponse(host));
    }
  }

  /**
   * Sends each delayed response for which a command may be sent, whose delay has ended, or whose
   * machine is no longer registered; and all of them while this leader is not authoritative.
   */
  void releaseDue() {
    long nowMs = scheduler.nowMs();
    for (DelayedResponse response : List.copyOf(delayedByHost.values())) {
      String host = response.heartbeat().host();
      if (hasCommands(host) || nowMs >= response.releaseAtMs() || !isAuthoritative.getAsBoolean()) {
        release(host);
      }
    }
  }

  /** Sends all delayed responses, before their delays end. */
  void releaseAll() {
    List.copyOf(delayedByHost.keySet()).forEach(this::release);
  }

  private boolean hasCommands(String host) {
    return machines
        .get(host)
        .map(machine -> machine.placements().stream().anyMatch(DelayedResponses::hasCommand))
        .orElse(true);
  }

  private static boolean hasCommand(Placement placement) {
    return placement.phase() == Placement.Phase.READY
        || !placement.isNeverSent() && (placement.isStopping() || placement.job().isTerminal());
  }
}
