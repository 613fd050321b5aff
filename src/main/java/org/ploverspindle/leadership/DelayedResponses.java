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
  private record HeldReply(
      Heartbeat report, Consumer<HeartbeatHandler.Response> then, long untilMs) {}

  private final Scheduler scheduler;
  private final MachineRegistry fleet;
  private final HeartbeatHandler reportHandler;
  private final BooleanSupplier mayDecide;
  private final long holdMs;
  private final Map<String, HeldReply> held = new LinkedHashMap<>();

  /**
   * @param mayDecide whether this leader is sure of its lead: without it nothing is ordered
   * @param holdMs how long an answer waits at most
   */
  DelayedResponses(
      Scheduler scheduler,
      MachineRegistry fleet,
      HeartbeatHandler reportHandler,
      BooleanSupplier mayDecide,
      long holdMs) {
    this.scheduler = scheduler;
    this.fleet = fleet;
    this.reportHandler = reportHandler;
    this.mayDecide = mayDecide;
    this.holdMs = holdMs;
  }

  /** Is the report the machine's newest, and could a task be placed there within the wait? */
  boolean isWorthDelaying(Machine machine, Heartbeat report, long nowMs) {
    return machine.lastSequence() == report.sequence()
        && machine.agentEpoch() == report.agentEpoch()
        && machine.isSchedulable(nowMs, holdMs)
        && machine.free().cores() > 0;
  }

  /** Holds the answer until orders for the machine are durable, or the wait is over. */
  void delay(Heartbeat report, Consumer<HeartbeatHandler.Response> then, long nowMs) {
    held.put(report.host(), new HeldReply(report, then, nowMs + holdMs));
  }

  /** Answers the machine's earlier report, if its answer is held, with what can be ordered now. */
  void release(String host) {
    HeldReply reply = held.remove(host);
    if (reply != null) {
      reply
          .then()
          .accept(
              mayDecide.getAsBoolean()
                  ? reportHandler.handleDelayed(reply.report(), scheduler.nowMs())
                  : reportHandler.emptyResponse(host));
    }
  }

  /** Answers what was held for long enough, or for what has now become durable. */
  void releaseDue() {
    long nowMs = scheduler.nowMs();
    for (HeldReply reply : List.copyOf(held.values())) {
      String host = reply.report().host();
      if (hasOrders(host) || nowMs >= reply.untilMs() || !mayDecide.getAsBoolean()) {
        release(host);
      }
    }
  }

  /** Answers all that is held. */
  void releaseAll() {
    List.copyOf(held.keySet()).forEach(this::release);
  }

  private boolean hasOrders(String host) {
    return fleet
        .get(host)
        .map(machine -> machine.placements().stream().anyMatch(DelayedResponses::hasOrder))
        .orElse(true);
  }

  private static boolean hasOrder(Placement placement) {
    return placement.phase() == Placement.Phase.READY
        || !placement.neverSent() && (placement.stopping() || placement.job().isTerminal());
  }
}
