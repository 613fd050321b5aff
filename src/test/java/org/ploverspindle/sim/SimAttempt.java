package org.ploverspindle.sim;

import org.ploverspindle.cluster.Heartbeat;

/** An attempt on a stand-in's machine, from its launch until it is forgotten. */
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

  /** Does it take its place by the rules: from the moment that it has its image? */
  boolean isExecuting() {
    return phase == Heartbeat.Phase.RUNNING || phase == Heartbeat.Phase.CHECKPOINTING;
  }
}
