package org.ploverspindle.sim;

import org.ploverspindle.cluster.Heartbeat;

/** An attempt on a stand-in's machine, from its launch until it is forgotten. */
final class SimAttempt {
  final String uid;
  final int task;
  final long attempt;
  final long orderedMs;
  Heartbeat.Phase phase = Heartbeat.Phase.FETCHING;
  Heartbeat.ExitReason cause = Heartbeat.ExitReason.NONE;
  boolean saved;

  SimAttempt(String uid, int task, long attempt, long orderedMs) {
    this.orderedMs = orderedMs;
    this.uid = uid;
    this.task = task;
    this.attempt = attempt;
  }

  /** Does it take its place by the rules: from the moment that it has its image? */
  boolean isOn() {
    return phase == Heartbeat.Phase.RUNNING || phase == Heartbeat.Phase.CHECKPOINTING;
  }
}
