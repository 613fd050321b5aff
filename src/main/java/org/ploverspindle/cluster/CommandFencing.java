package org.ploverspindle.cluster;

import java.util.HashMap;
import java.util.Map;

/**
 * The fencing token of one machine, and whether commands are known to reach the machine.
 *
 * <p>An agent refuses commands whose token is lower than the highest one that it has received. So
 * raising the token of one machine makes all commands void that were sent to it earlier and have
 * not been executed, as soon as a heartbeat shows the raised token.
 */
final class CommandFencing {
  /** By attempt, the token under which its launch was sent directly. */
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

  /** Sets the token that all further responses and commands to the machine carry. */
  void raiseToken(long token) {
    fencingToken = token;
  }

  boolean receivesCommands() {
    return receivesCommands;
  }

  long unreachableSinceMs() {
    return unreachableSinceMs;
  }

  /**
   * Commands do not seem to reach the machine. Its token is raised once for this: a heartbeat that
   * shows the raised token proves that responses arrive again.
   */
  void markUnreachable(long token, long nowMs) {
    boolean isAlreadyUnreachable = unreachableSinceMs >= 0;
    if (receivesCommands || !isAlreadyUnreachable) {
      raiseToken(token);
    }
    receivesCommands = false;
    if (!isAlreadyUnreachable) {
      unreachableSinceMs = nowMs;
    }
  }

  /** A heartbeat showed this token, which is one of this term. */
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

  /** Whether a launch of the attempt that was sent directly could still be executed. */
  boolean isDirectLaunchPending(long attempt) {
    Long token = directLaunchTokens.get(attempt);
    return token != null && token >= fencingToken;
  }
}
