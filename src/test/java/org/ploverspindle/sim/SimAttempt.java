package org.ploverspindle.sim;

import org.ploverspindle.cluster.Heartbeat;

/** An attempt on a simulated worker, from its launch command until the command to forget it. */
final class SimAttempt {
  final String uid;
  final int task;
  final long attempt;
  final long commandSentMs;
  Heartbeat.Phase phase = Heartbeat.Phase.FETCHING;
  Heartbeat.ExitReason exitReason = Heartbeat.ExitReason.NONE;
  boolean checkpointed;

  SimAttempt(String uid, int task, long attempt, long commandSentMs) {
    this.commandSentMs = commandSentMs;
    this.uid = uid;
    this.task = task;
    this.attempt = attempt;
  }

  /** Whether its task executes: from the end of the image fetch until the attempt exits. */
  boolean isExecuting() {
    return phase == Heartbeat.Phase.RUNNING || phase == Heartbeat.Phase.CHECKPOINTING;
  }
}
