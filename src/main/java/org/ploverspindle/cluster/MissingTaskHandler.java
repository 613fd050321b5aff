package org.ploverspindle.cluster;

/**
 * Handles the placements that a heartbeat does not list. Decides whether this proves that the task
 * is gone, and whether the launch has to be sent again.
 */
final class MissingTaskHandler {
  /** A machine is unreachable once the launch of one attempt has been lost this many times. */
  private static final int LOST_LAUNCHES_UNTIL_UNREACHABLE = 2;

  private final MachineRegistry registry;
  private final HeartbeatHandler.Listener listener;

  MissingTaskHandler(MachineRegistry registry, HeartbeatHandler.Listener listener) {
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
    if (placement.isNeverSent()) {
      if (placement.job().isTerminal()) {
        endWithoutExit(placement, context.nowMs());
      }
      return;
    }
    if (!context.hasTokenOfTerm()) {
      return;
    }
    if (placement.hasPendingDirectLaunch()
        && context.heartbeat().fencingToken() <= placement.directLaunchToken()) {
      handlePendingDirectLaunch(context, placement);
      return;
    }
    placement.clearDirectLaunch();
    handleWithoutDirectLaunch(context, placement);
  }

  /**
   * Handles a placement of which no direct launch can be executed any more. A response in flight
   * may still carry its launch.
   */
  private void handleWithoutDirectLaunch(HeartbeatContext context, Placement placement) {
    if (placement.isNeverSent()) {
      if (!placement.shouldRun()) {
        endWithoutExit(placement, context.nowMs());
      }
    } else if (placement.phase() != Placement.Phase.SENT) {
      endWithoutExit(placement, context.nowMs());
    } else if (!context.isDirectResponse() && isResponseSettled(context, placement)) {
      // A response to direct commands proves nothing about our response to the last heartbeat: the
      // worker may have written it before our response arrived.
      handleLostLaunch(context, placement);
    }
  }

  private static boolean isResponseSettled(HeartbeatContext context, Placement placement) {
    return placement.isResponseSettled(context.heartbeat().sequence());
  }

  /** Handles a placement whose launch was sent directly and may still be executed. */
  private void handlePendingDirectLaunch(HeartbeatContext context, Placement placement) {
    if (context.isDirectResponse()) {
      return;
    }
    Machine machine = context.machine();
    if (!placement.shouldRun()) {
      // Under a higher fencing token the worker rejects the launch, so that a later heartbeat can
      // prove that the task is gone.
      if (machine.fencingToken() <= placement.directLaunchToken()) {
        machine.raiseFencingToken(registry.nextFencingToken());
      }
    } else if (placement.phase() == Placement.Phase.SENT && isResponseSettled(context, placement)) {
      // The launch is sent again in a response, which has no effect if the direct one arrives too.
      placement.markLaunchLost();
    }
  }

  /**
   * Handles a placement whose launch was lost with its response. Responses are never executed late,
   * so the launch can be sent again. After several losses the machine counts as unreachable and
   * gets no new tasks, and the placement is removed so that the task can be placed elsewhere.
   */
  private void handleLostLaunch(HeartbeatContext context, Placement placement) {
    if (!placement.shouldRun()) {
      endWithoutExit(placement, context.nowMs());
      return;
    }
    placement.markLaunchLost();
    if (placement.lostLaunches() >= LOST_LAUNCHES_UNTIL_UNREACHABLE) {
      context.machine().markUnreachable(registry.nextFencingToken(), context.nowMs());
      endWithoutExit(placement, context.nowMs());
    }
  }
}
