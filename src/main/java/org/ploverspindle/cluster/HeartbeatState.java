package org.ploverspindle.cluster;

/** The first and the last heartbeat of one machine that arrived in this term. */
final class HeartbeatState {
  private long agentEpoch;
  private long lastSequence;
  private long firstHeartbeatMs = Machine.NEVER_MS;
  private long lastHeartbeatMs = Machine.NEVER_MS;
  private boolean isFirstUnobserved;
  private boolean hasAcceptedToken;

  void record(Heartbeat heartbeat, long nowMs, boolean hasTokenOfTerm) {
    if (!hasHeartbeat()) {
      firstHeartbeatMs = nowMs;
      isFirstUnobserved = true;
    }
    agentEpoch = heartbeat.agentEpoch();
    lastSequence = heartbeat.sequence();
    lastHeartbeatMs = nowMs;
    hasAcceptedToken |= hasTokenOfTerm;
  }

  boolean hasHeartbeat() {
    return lastHeartbeatMs >= 0;
  }

  long agentEpoch() {
    return agentEpoch;
  }

  long lastSequence() {
    return lastSequence;
  }

  long firstHeartbeatMs() {
    return firstHeartbeatMs;
  }

  long lastHeartbeatMs() {
    return lastHeartbeatMs;
  }

  boolean hasAcceptedToken() {
    return hasAcceptedToken;
  }

  /** Returns true at the first call after the first heartbeat and false at every other call. */
  boolean observeFirst() {
    boolean observed = isFirstUnobserved;
    isFirstUnobserved = false;
    return observed;
  }
}
