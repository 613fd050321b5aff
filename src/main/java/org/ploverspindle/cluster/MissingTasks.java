package org.ploverspindle.cluster;

/**
 * Handles the placements that a heartbeat does not list. Decides whether this proves that the task
 * is gone, and whether the launch has to be sent again.
 */
final class MissingTasks {
  /** A machine is unreachable once this many responses with the same launch were lost. */
  private static final int LOST_RESPONSES_UNTIL_UNREACHABLE = 2;

  private final MachineRegistry registry;
  private final HeartbeatHandler.Listener listener;

  MissingTasks(MachineRegistry registry, HeartbeatHandler.Listener listener) {
    this.registry = registry;
    this.listener = listener;
  }

  /** Removes a placement that is proven gone although no heartbeat showed its exit. */
  void endWithoutExit(Placement placement, long nowMs) {
    registry.removePlacement(placement, nowMs);
    listener.ended(placement, Heartbeat.ExitReason.NONE, false, nowMs);
  }

  /**
   * Handles a placement that the heartbeat does not list. If its launch was never sent, it is
   * removed only when its job is terminal.
   *
   * <p>If its launch was sent, this proves that the task is gone only if the worker wrote the
   * heartbeat after it had accepted a fencing token of this term, because before that a response of
   * an earlier leader could still start the task. If this leader sent the launch, the response with
   * the launch must also have been received or lost before the heartbeat was written.
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

  /**
   * Handles a placement of which no direct launch can be executed any more. A response in flight
   * may still carry its launch.
   */
  private void handleWithoutDirectLaunch(HeartbeatContext context, Placement placement) {
    if (placement.neverSent()) {
      if (!placement.isWanted()) {
        endWithoutExit(placement, context.nowMs());
      }
    } else if (placement.phase() != Placement.Phase.SENT) {
      endWithoutExit(placement, context.nowMs());
    } else if (!context.direct() && isResponseSettled(context, placement)) {
      // A response to direct commands proves nothing about our response to the last heartbeat: the
      // worker may have written it before our response arrived.
      handleLostResponse(context, placement);
    }
  }

  private static boolean isResponseSettled(HeartbeatContext context, Placement placement) {
    return placement.isResponseSettled(context.heartbeat().sequence());
  }

  /** Handles a placement whose launch was sent directly and may still be executed. */
  private void handlePendingDirectLaunch(HeartbeatContext context, Placement placement) {
    if (context.direct()) {
      return;
    }
    Machine machine = context.machine();
    if (!placement.isWanted()) {
      // Under a higher fencing token the worker rejects the launch, so that a later heartbeat can
      // prove that the task is gone.
      if (machine.fencingToken() <= placement.directToken()) {
        machine.raiseFencingToken(registry.nextFencingToken());
      }
    } else if (placement.phase() == Placement.Phase.SENT && isResponseSettled(context, placement)) {
      // The launch is sent again in a response, which has no effect if the direct one arrives too.
      placement.markResponseLost();
    }
  }

  /**
   * Handles a placement whose launch was lost with its response. Responses are never executed late,
   * so the launch can be sent again. After several losses the machine counts as unreachable and
   * gets no new tasks, and the placement is removed so that the task can be placed elsewhere.
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
