package org.ploverspindle.cluster;

import java.util.HashMap;
import java.util.Map;

/**
 * The fencing token of one machine, and whether commands are known to reach its worker.
 *
 * <p>A worker rejects commands whose fencing token is lower than the highest one that it has
 * received. Once a heartbeat shows a raised token, the worker therefore executes no command any
 * more that was sent to it earlier under a lower token.
 */
final class CommandFencing {
  /** For each attempt whose launch was sent directly, the fencing token of that launch. */
  private final Map<Long, Long> directLaunchTokens = new HashMap<>();

  private long fencingToken;
  private boolean receivesCommands;
  private long unreachableSinceMs = Machine.NEVER_MS;

  CommandFencing(long fencingToken) {
    this.fencingToken = fencingToken;
  }

  long fencingToken() {
    return fencingToken;
  }

  /** Sets the fencing token that all further responses and commands to the machine carry. */
  void raiseFencingToken(long token) {
    fencingToken = token;
  }

  boolean receivesCommands() {
    return receivesCommands;
  }

  long unreachableSinceMs() {
    return unreachableSinceMs;
  }

  /**
   * Records that commands do not seem to reach the machine. Its fencing token is raised only once
   * while it stays unreachable: a heartbeat that shows the raised token proves that responses
   * arrive again.
   */
  void markUnreachable(long token, long nowMs) {
    boolean isAlreadyUnreachable = unreachableSinceMs >= 0;
    if (receivesCommands || !isAlreadyUnreachable) {
      raiseFencingToken(token);
    }
    receivesCommands = false;
    if (!isAlreadyUnreachable) {
      unreachableSinceMs = nowMs;
    }
  }

  /** Records the fencing token that a heartbeat showed, which must be a token of this term. */
  void recordReportedToken(long reportedToken) {
    if (reportedToken >= fencingToken) {
      receivesCommands = true;
      unreachableSinceMs = Machine.NEVER_MS;
    }
    if (!directLaunchTokens.isEmpty()) {
      directLaunchTokens.values().removeIf(token -> token < reportedToken);
    }
  }

  void recordDirectLaunch(long attempt) {
    directLaunchTokens.put(attempt, fencingToken);
  }

  /**
   * Whether a launch of the attempt was sent directly under the current fencing token, so that the
   * worker may still execute it.
   */
  boolean isDirectLaunchPending(long attempt) {
    Long token = directLaunchTokens.get(attempt);
    return token != null && token >= fencingToken;
  }
}
