package org.ploverspindle.cluster;

/**
 * Decides what follows from placements that a heartbeat does not show on their machine: whether
 * that proves them gone, and whether the launch is to be sent again.
 */
final class MissingTasks {
  /** A machine that lost so many responses with one launch does not receive responses. */
  private static final int LOST_RESPONSES_UNTIL_UNREACHABLE = 2;

  private final MachineRegistry registry;
  private final HeartbeatHandler.Listener listener;

  MissingTasks(MachineRegistry registry, HeartbeatHandler.Listener listener) {
    this.registry = registry;
    this.listener = listener;
  }

  /** Removes a placement that is proven gone though no heartbeat showed its exit. */
  void endWithoutExit(Placement placement, long nowMs) {
    registry.removePlacement(placement, nowMs);
    listener.ended(placement, Heartbeat.ExitReason.NONE, false, nowMs);
  }

  /**
   * Handles a placement that the heartbeat does not show. This proves it gone only if the heartbeat
   * was written after the agent accepted our token, as an earlier leader's response may have
   * arrived after an older one, and, for a launch of ours, after the response that held it.
   */
  void handle(HeartbeatContext context, Placement placement) {
    if (placement.neverSent()) {
      if (placement.job().isTerminal()) {
        endWithoutExit(placement, context.nowMs());
      }
      return;
    }
    if (!context.underOwnToken()) {
      return;
    }
    if (placement.hasDirectLaunch()
        && context.heartbeat().fencingToken() <= placement.directToken()) {
      handlePendingDirectLaunch(context, placement);
      return;
    }
    placement.voidDirectLaunch();
    handleWithoutDirectLaunch(context, placement);
  }

  /** No direct launch can be executed any more, but a response in flight may hold a launch. */
  private void handleWithoutDirectLaunch(HeartbeatContext context, Placement placement) {
    if (placement.neverSent()) {
      if (!placement.isWanted()) {
        endWithoutExit(placement, context.nowMs());
      }
    } else if (placement.phase() != Placement.Phase.SENT) {
      endWithoutExit(placement, context.nowMs());
    } else if (!context.direct() && isResponseSettled(context, placement)) {
      // The response to a direct command proves nothing about the response to the last heartbeat:
      // it may have been written before that arrived.
      handleLostResponse(context, placement);
    }
  }

  private static boolean isResponseSettled(HeartbeatContext context, Placement placement) {
    return placement.isResponseSettled(context.heartbeat().sequence());
  }

  /** The launch was sent directly, is not shown, and may still be executed. */
  private void handlePendingDirectLaunch(HeartbeatContext context, Placement placement) {
    if (context.direct()) {
      return;
    }
    Machine machine = context.machine();
    if (!placement.isWanted()) {
      // Under a higher token the launch is void, and a later heartbeat can prove the task gone.
      if (machine.fencingToken() <= placement.directToken()) {
        machine.raiseFencingToken(registry.nextFencingToken());
      }
    } else if (placement.phase() == Placement.Phase.SENT && isResponseSettled(context, placement)) {
      // The same launch in a response has no effect if the direct one arrives as well.
      placement.markResponseLost();
    }
  }

  /**
   * The response with the launch was lost, and responses are never executed late: the launch can be
   * sent again. A machine that loses several gets no new tasks, and this one goes elsewhere.
   */
  private void handleLostResponse(HeartbeatContext context, Placement placement) {
    if (!placement.isWanted()) {
      endWithoutExit(placement, context.nowMs());
      return;
    }
    placement.markResponseLost();
    if (placement.lostResponses() >= LOST_RESPONSES_UNTIL_UNREACHABLE) {
      context.machine().markUnreachable(registry.nextFencingToken(), context.nowMs());
      endWithoutExit(placement, context.nowMs());
    }
  }
}
