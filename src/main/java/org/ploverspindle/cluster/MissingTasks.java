package org.ploverspindle.cluster;

/** What follows from the placements that a report does not show on their machine. */
final class MissingTasks {
  /** A machine that lost so many answers one after the other does not hear us. */
  private static final int LOST_ANSWERS_OF_THE_DEAF = 2;

  private final MachineRegistry fleet;
  private final HeartbeatHandler.Listener listener;

  MissingTasks(MachineRegistry fleet, HeartbeatHandler.Listener listener) {
    this.fleet = fleet;
    this.listener = listener;
  }

  /** The placement is proven gone without having ended on its machine. */
  void gone(Placement placement, long nowMs) {
    fleet.removePlacement(placement, nowMs);
    listener.ended(placement, Heartbeat.ExitReason.NONE, false, nowMs);
  }

  /**
   * A placement that the report does not show. Proof that it is not there needs a report made after
   * the worker took our token, as an earlier leader's answer may have come after an older one; and,
   * for a launch of ours, made after the answer that held it.
   */
  void handle(HeartbeatContext reading, Placement placement) {
    if (placement.neverSent()) {
      if (placement.job().isTerminal()) {
        gone(placement, reading.nowMs());
      }
      return;
    }
    if (!reading.underOwnToken()) {
      return;
    }
    if (placement.directToken() >= 0
        && reading.heartbeat().fencingToken() <= placement.directToken()) {
      directAbsent(reading, placement);
      return;
    }
    placement.voidDirectLaunch();
    sentAbsent(reading, placement);
  }

  /** No direct command can bring it any more, but an answer that is under way might. */
  private void sentAbsent(HeartbeatContext reading, Placement placement) {
    if (placement.neverSent()) {
      if (placement.job().isTerminal() || placement.stopping()) {
        gone(placement, reading.nowMs());
      }
    } else if (placement.phase() != Placement.Phase.SENT) {
      gone(placement, reading.nowMs());
    } else if (!reading.direct() && isAnswerOver(reading, placement)) {
      // Only a report proves that the answer before it is over: what answers a direct command
      // may have been written in between.
      answerLost(reading, placement);
    }
  }

  private static boolean isAnswerOver(HeartbeatContext reading, Placement placement) {
    return reading.heartbeat().sequence() > placement.sentSequence()
        || placement.sentSequence() == Long.MAX_VALUE;
  }

  /** The launch went straight there, is not shown, and may still arrive. */
  private void directAbsent(HeartbeatContext reading, Placement placement) {
    if (reading.direct()) {
      return;
    }
    Machine machine = reading.machine();
    if (placement.job().isTerminal() || placement.stopping()) {
      if (machine.fencingToken() <= placement.directToken()) {
        machine.raiseFencingToken(fleet.nextFencingToken());
      }
    } else if (placement.phase() == Placement.Phase.SENT && isAnswerOver(reading, placement)) {
      // The same launch in an answer does no harm where the direct one arrives as well.
      placement.markResponseLost();
    }
  }

  /**
   * The answer with the launch was lost, and answers are never executed late: it can be sent again.
   * A machine that loses one after another does not hear us; its tasks go elsewhere.
   */
  private void answerLost(HeartbeatContext reading, Placement placement) {
    if (placement.job().isTerminal() || placement.stopping()) {
      gone(placement, reading.nowMs());
      return;
    }
    placement.markResponseLost();
    if (placement.lostResponses() >= LOST_ANSWERS_OF_THE_DEAF) {
      reading.machine().markUnreachable(fleet.nextFencingToken(), reading.nowMs());
      gone(placement, reading.nowMs());
    }
  }
}
