package org.ploverspindle.api;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.function.LongSupplier;
import org.ploverspindle.eventloop.EventLoop;
import org.ploverspindle.eventloop.EventPriority;

/**
 * Sheds load: under overload users' requests are refused at once, so that workers' requests and
 * scheduling decisions take precedence.
 */
final class UserAdmission {
  private final EventLoop loop;
  private final int maxConnectionsForUsers;
  private final int maxUserBacklog;
  private final LongSupplier activeConnections;
  private final RequestDispatcher dispatcher;

  UserAdmission(
      EventLoop loop,
      ConnectionLimits limits,
      LongSupplier activeConnections,
      RequestDispatcher dispatcher) {
    this.loop = loop;
    this.maxConnectionsForUsers = limits.maxConnectionsForUsers();
    this.maxUserBacklog = limits.maxUserBacklog();
    this.activeConnections = activeConnections;
    this.dispatcher = dispatcher;
  }

  /** Whether a user's request may be handled; if not, sends the response that refuses it. */
  boolean admit(HttpServerExchange exchange, EventPriority priority) {
    if (activeConnections.getAsLong() > maxConnectionsForUsers) {
      // The remaining sockets are for workers: a worker that can't send heartbeats loses its tasks.
      exchange.setPersistent(false);
      dispatcher.send(
          exchange,
          ApiResponse.retryLater(StatusCodes.SERVICE_UNAVAILABLE, "no connections are left", 2));
      return false;
    }
    if (loop.backlog(priority) < maxUserBacklog) {
      return true;
    }
    dispatcher.send(
        exchange, ApiResponse.retryLater(StatusCodes.TOO_MANY_REQUESTS, "too much to do", 2));
    return false;
  }
}
