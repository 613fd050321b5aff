package org.ploverspindle.api;

/**
 * How many connections the process may have, and for how long without a request.
 *
 * @param maxConnections sockets that the process may have
 * @param reservedConnections how many of these it opens itself
 * @param idleTimeoutMs after how long without a request a connection is closed; one that a network
 *     cut left half-open appears idle, and takes a socket until then
 */
public record ConnectionLimits(int maxConnections, int reservedConnections, int idleTimeoutMs) {
  private static final int MIN_IDLE_TIMEOUT_MS = 10_000;
  private static final int IDLE_TIMEOUT_MS_PER_HEARTBEAT_S = 3_000;

  /** One connection in so many is kept free of users. */
  private static final int CONNECTIONS_PER_WORKER_ONLY_CONNECTION = 25;

  private static final int MIN_USER_BACKLOG = 20;
  private static final int CONNECTIONS_PER_USER_REQUEST = 8;

  /**
   * The limits of a process.
   *
   * @param heartbeatIntervalS workers send heartbeats about so often, and users ask as often
   */
  public static ConnectionLimits of(
      int maxConnections, int reservedConnections, double heartbeatIntervalS) {
    return new ConnectionLimits(
        maxConnections,
        Math.min(reservedConnections, maxConnections / 2),
        (int) Math.max(MIN_IDLE_TIMEOUT_MS, IDLE_TIMEOUT_MS_PER_HEARTBEAT_S * heartbeatIntervalS));
  }

  /** Connections that are accepted. More would take the sockets of those that we open. */
  int maxAcceptedConnections() {
    return Math.max(2, maxConnections - reservedConnections);
  }

  /** With more connections than this, users are refused. */
  int maxConnectionsForUsers() {
    return maxAcceptedConnections()
        - Math.max(1, maxAcceptedConnections() / CONNECTIONS_PER_WORKER_ONLY_CONNECTION);
  }

  /** How many users' requests of one priority may wait for the event loop. */
  int maxUserBacklog() {
    return Math.max(MIN_USER_BACKLOG, maxConnections / CONNECTIONS_PER_USER_REQUEST);
  }
}
