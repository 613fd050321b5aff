package org.ploverspindle.cluster;

/** The first and the last heartbeat of one machine that arrived in this term. */
final class HeartbeatState {
  private long workerEpoch;
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
    workerEpoch = heartbeat.workerEpoch();
    lastSequence = heartbeat.sequence();
    lastHeartbeatMs = nowMs;
    hasAcceptedToken |= hasTokenOfTerm;
  }

  boolean hasHeartbeat() {
    return lastHeartbeatMs >= 0;
  }

  long workerEpoch() {
    return workerEpoch;
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
