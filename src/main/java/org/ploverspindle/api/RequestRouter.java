package org.ploverspindle.api;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.Deque;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.ploverspindle.eventloop.EventPriority;

/** Routes requests by path and method. Runs on the I/O thread. */
final class RequestRouter implements HttpHandler {
  private static final String HEARTBEAT_PATH = "/checkin";
  private static final String READINESS_PATH = "/ready";
  private static final String STATUS_PATH = "/status";
  private static final String JOBS_PATH = "/submissions";
  private static final String CANCEL_SUFFIX = "/withdraw";
  private static final String JOB_PARAMETER = "job";

  private final UserApi.RequestHandler handler;
  private final UserAdmission admission;
  private final RequestDispatcher dispatcher;
  private final BooleanSupplier ready;

  RequestRouter(
      UserApi.RequestHandler handler,
      UserAdmission admission,
      RequestDispatcher dispatcher,
      BooleanSupplier ready) {
    this.handler = handler;
    this.admission = admission;
    this.dispatcher = dispatcher;
    this.ready = ready;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    switch (path) {
      case HEARTBEAT_PATH -> heartbeat(exchange);
      case READINESS_PATH -> readiness(exchange);
      case STATUS_PATH -> status(exchange);
      case JOBS_PATH -> submit(exchange);
      default -> {
        if (path.startsWith(JOBS_PATH + "/")) {
          routeJob(exchange, path.substring(JOBS_PATH.length() + 1));
        } else {
          notFound(exchange);
        }
      }
    }
  }

  private void heartbeat(HttpServerExchange exchange) {
    if (allows(exchange, Methods.POST)) {
      dispatcher.dispatchBody(exchange, EventPriority.HEARTBEAT, handler::heartbeat);
    }
  }

  private void readiness(HttpServerExchange exchange) {
    if (allows(exchange, Methods.GET)) {
      dispatcher.send(
          exchange,
          ready.getAsBoolean()
              ? ApiResponse.error(StatusCodes.OK, "")
              : ApiResponse.retryLater(StatusCodes.SERVICE_UNAVAILABLE, "not ready", 1));
    }
  }

  private void status(HttpServerExchange exchange) {
    if (!allows(exchange, Methods.GET)) {
      return;
    }
    Optional<String> job =
        Optional.ofNullable(exchange.getQueryParameters().get(JOB_PARAMETER)).map(Deque::peek);
    dispatcher.dispatch(
        exchange,
        EventPriority.SUBMISSION,
        responder ->
            job.ifPresentOrElse(
                uid -> handler.explainJob(uid, responder), () -> handler.status(responder)));
  }

  private void submit(HttpServerExchange exchange) {
    if (allows(exchange, Methods.POST) && admission.admit(exchange, EventPriority.SUBMISSION)) {
      dispatcher.dispatchBody(exchange, EventPriority.SUBMISSION, handler::submit);
    }
  }

  /**
   * @param subpath the path without that of all jobs: a uid, followed by the cancellation suffix
   *     for a cancellation
   */
  private void routeJob(HttpServerExchange exchange, String subpath) {
    int slash = subpath.indexOf('/');
    if (slash < 0) {
      poll(exchange, subpath);
    } else if (subpath.substring(slash).equals(CANCEL_SUFFIX)) {
      cancel(exchange, subpath.substring(0, slash));
    } else {
      notFound(exchange);
    }
  }

  private void poll(HttpServerExchange exchange, String uid) {
    if (allows(exchange, Methods.GET) && admission.admit(exchange, EventPriority.QUERY)) {
      dispatcher.dispatch(exchange, EventPriority.QUERY, responder -> handler.poll(uid, responder));
    }
  }

  private void cancel(HttpServerExchange exchange, String uid) {
    if (allows(exchange, Methods.POST) && admission.admit(exchange, EventPriority.SUBMISSION)) {
      dispatcher.dispatchBody(
          exchange, EventPriority.SUBMISSION, (body, responder) -> handler.cancel(uid, responder));
    }
  }

  private void notFound(HttpServerExchange exchange) {
    dispatcher.send(exchange, ApiResponse.error(StatusCodes.NOT_FOUND, "no such path"));
  }

  /** Whether the request has the only method that its path allows; if not, sends a 405. */
  private boolean allows(HttpServerExchange exchange, HttpString method) {
    if (exchange.getRequestMethod().equals(method)) {
      return true;
    }
    exchange.getResponseHeaders().put(Headers.ALLOW, method.toString());
    dispatcher.send(
        exchange,
        ApiResponse.error(StatusCodes.METHOD_NOT_ALLOWED, "the method must be " + method));
    return false;
  }
}
