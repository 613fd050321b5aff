package org.ploverspindle.api;

/**
 * Limits on the number of connections of this process, and on the time that a connection may be
 * idle.
 *
 * @param maxConnections largest number of sockets of the process
 * @param reservedConnections number of these sockets that are for connections opened by the process
 *     itself
 * @param idleTimeoutMs time without a request, in milliseconds, after which a connection is closed;
 *     a connection that a network partition left half-open appears idle, and uses a socket until
 *     then
 */
public record ConnectionLimits(int maxConnections, int reservedConnections, int idleTimeoutMs) {
  private static final int MIN_IDLE_TIMEOUT_MS = 10_000;
  private static final int IDLE_TIMEOUT_MS_PER_HEARTBEAT_S = 3_000;

  /** One of this many accepted connections is kept for workers. */
  private static final int CONNECTIONS_PER_WORKER_ONLY_CONNECTION = 25;

  private static final int MIN_USER_BACKLOG = 20;
  private static final int CONNECTIONS_PER_USER_REQUEST = 8;

  /**
   * Returns the limits of a process.
   *
   * @param heartbeatIntervalS interval, in seconds, at which workers send heartbeats; users send
   *     requests about as often
   */
  public static ConnectionLimits of(
      int maxConnections, int reservedConnections, double heartbeatIntervalS) {
    return new ConnectionLimits(
        maxConnections,
        Math.min(reservedConnections, maxConnections / 2),
        (int) Math.max(MIN_IDLE_TIMEOUT_MS, IDLE_TIMEOUT_MS_PER_HEARTBEAT_S * heartbeatIntervalS));
  }

  /**
   * Returns the number of connections that may be accepted. More would use the sockets that are
   * reserved for connections opened by the process itself.
   */
  int maxAcceptedConnections() {
    return Math.max(2, maxConnections - reservedConnections);
  }

  /** Returns the number of connections above which users' requests are refused. */
  int maxConnectionsForUsers() {
    return maxAcceptedConnections()
        - Math.max(1, maxAcceptedConnections() / CONNECTIONS_PER_WORKER_ONLY_CONNECTION);
  }

  /** Returns how many users' requests of one priority may wait for the event loop. */
  int maxUserBacklog() {
    return Math.max(MIN_USER_BACKLOG, maxConnections / CONNECTIONS_PER_USER_REQUEST);
  }
}
