package org.ploverspindle.cluster;

/** What follows from the placements that a report does not show on their machine. */
final class MissingTasks {
  /** A machine that lost so many answers one after the other does not hear us. */
  private static final int LOST_RESPONSES_UNTIL_UNREACHABLE = 2;

  private final MachineRegistry registry;
  private final HeartbeatHandler.Listener listener;

  MissingTasks(MachineRegistry registry, HeartbeatHandler.Listener listener) {
    this.registry = registry;
    this.listener = listener;
  }

  /** The placement is proven gone without having ended on its machine. */
  void endWithoutExit(Placement placement, long nowMs) {
    registry.removePlacement(placement, nowMs);
    listener.ended(placement, Heartbeat.ExitReason.NONE, false, nowMs);
  }

  /**
   * A placement that the report does not show. Proof that it is not there needs a report made after
   * the worker took our token, as an earlier leader's answer may have come after an older one; and,
   * for a launch of ours, made after the answer that held it.
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
    if (placement.directToken() >= 0
        && context.heartbeat().fencingToken() <= placement.directToken()) {
      handleMissingDirect(context, placement);
      return;
    }
    placement.voidDirectLaunch();
    handleMissingSent(context, placement);
  }

  /** No direct command can bring it any more, but an answer that is under way might. */
  private void handleMissingSent(HeartbeatContext context, Placement placement) {
    if (placement.neverSent()) {
      if (placement.job().isTerminal() || placement.stopping()) {
        endWithoutExit(placement, context.nowMs());
      }
    } else if (placement.phase() != Placement.Phase.SENT) {
      endWithoutExit(placement, context.nowMs());
    } else if (!context.direct() && isResponseSettled(context, placement)) {
      // Only a report proves that the answer before it is over: what answers a direct command
      // may have been written in between.
      handleLostResponse(context, placement);
    }
  }

  private static boolean isResponseSettled(HeartbeatContext context, Placement placement) {
    return context.heartbeat().sequence() > placement.sentSequence()
        || placement.sentSequence() == Long.MAX_VALUE;
  }

  /** The launch went straight there, is not shown, and may still arrive. */
  private void handleMissingDirect(HeartbeatContext context, Placement placement) {
    if (context.direct()) {
      return;
    }
    Machine machine = context.machine();
    if (placement.job().isTerminal() || placement.stopping()) {
      if (machine.fencingToken() <= placement.directToken()) {
        machine.raiseFencingToken(registry.nextFencingToken());
      }
    } else if (placement.phase() == Placement.Phase.SENT && isResponseSettled(context, placement)) {
      // The same launch in an answer does no harm where the direct one arrives as well.
      placement.markResponseLost();
    }
  }

  /**
   * The answer with the launch was lost, and answers are never executed late: it can be sent again.
   * A machine that loses one after another does not hear us; its tasks go elsewhere.
   */
  private void handleLostResponse(HeartbeatContext context, Placement placement) {
    if (placement.job().isTerminal() || placement.stopping()) {
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
