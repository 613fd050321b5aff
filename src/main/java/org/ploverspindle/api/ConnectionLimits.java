package org.ploverspindle.api;

/**
 * How many connections the process may have, and for how long without a request.
 *
 * @param maxConnections sockets that the process may have
 * @param reserved how many of these it opens itself
 * @param idleMs after how long without a request a connection is closed; one that a network cut
 *     left half-open appears idle, and takes a socket until then
 */
public record ConnectionLimits(int maxConnections, int reserved, int idleMs) {
  private static final int LEAST_IDLE_MS = 10_000;
  private static final int IDLE_MS_PER_HEARTBEAT_S = 3_000;

  /** One connection in so many is kept free of users. */
  private static final int CONNECTIONS_PER_WORKER_RESERVE = 25;

  private static final int LEAST_USER_BACKLOG = 20;
  private static final int CONNECTIONS_PER_USER_REQUEST = 8;

  /**
   * The limits of a process.
   *
   * @param heartbeatIntervalS workers send heartbeats about so often, and users ask as often
   */
  public static ConnectionLimits of(int maxConnections, int reserved, double heartbeatIntervalS) {
    return new ConnectionLimits(
        maxConnections,
        Math.min(reserved, maxConnections / 2),
        (int) Math.max(LEAST_IDLE_MS, IDLE_MS_PER_HEARTBEAT_S * heartbeatIntervalS));
  }

  /** Connections that are accepted. More would take the sockets of those that we open. */
  int maxAccepted() {
    return Math.max(2, maxConnections - reserved);
  }

  /** With more connections than this, users are refused. */
  int maxWithUsers() {
    return maxAccepted() - Math.max(1, maxAccepted() / CONNECTIONS_PER_WORKER_RESERVE);
  }

  /** How many users' requests of one priority may wait for the event loop. */
  int maxUserBacklog() {
    return Math.max(LEAST_USER_BACKLOG, maxConnections / CONNECTIONS_PER_USER_REQUEST);
  }
}
