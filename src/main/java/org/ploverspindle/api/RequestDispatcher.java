package org.ploverspindle.api;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.EventLoop;
import org.ploverspindle.eventloop.EventPriority;

/** Passes requests from the I/O thread to the event loop, and responses back. */
final class RequestDispatcher {
  static final int MAX_BODY_BYTES = 64 * 1024;

  /**
   * Largest age at which a response that asserts a state is sent to a user; users give up after two
   * seconds.
   */
  private static final long MAX_RESPONSE_AGE_MS = 1_000;

  /**
   * Largest age at which a response that asserts a state is sent to a worker; workers give up after
   * four seconds.
   */
  private static final long MAX_HEARTBEAT_RESPONSE_AGE_MS = 2_500;

  private static final String CONTENT_TYPE = "application/cbor";

  /** Handles a request with its body on the event loop. */
  @FunctionalInterface
  interface BodyHandler {
    void accept(byte[] body, Consumer<ApiResponse> responder);
  }

  private final EventLoop loop;
  private final BooleanSupplier ready;

  /**
   * @param ready whether users should be sent to this controller; is called on the I/O thread
   */
  RequestDispatcher(EventLoop loop, BooleanSupplier ready) {
    this.loop = loop;
    this.ready = ready;
  }

  /** Reads the body, and then runs the handler on the event loop. */
  void dispatchBody(HttpServerExchange exchange, EventPriority priority, BodyHandler handler) {
    Receiver receiver = exchange.getRequestReceiver();
    receiver.setMaxBufferSize(MAX_BODY_BYTES);
    receiver.receiveFullBytes(
        (received, body) ->
            dispatch(received, priority, responder -> handler.accept(body, responder)),
        this::refuseBody);
  }

  private void refuseBody(HttpServerExchange exchange, Exception cause) {
    // On a persistent connection the rest of the body would be read as the next request.
    exchange.setPersistent(false);
    boolean tooLarge =
        cause instanceof Receiver.RequestToLargeException
            || exchange.getRequestContentLength() > MAX_BODY_BYTES;
    send(
        exchange,
        tooLarge
            ? ApiResponse.error(StatusCodes.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
            : ApiResponse.error(StatusCodes.BAD_REQUEST, "the body could not be read"));
  }

  /** Runs the handler on the event loop. The handler passes the response to its argument. */
  void dispatch(
      HttpServerExchange exchange,
      EventPriority priority,
      Consumer<Consumer<ApiResponse>> handler) {
    long maxAgeMs =
        priority == EventPriority.HEARTBEAT ? MAX_HEARTBEAT_RESPONSE_AGE_MS : MAX_RESPONSE_AGE_MS;
    Runnable event = () -> handler.accept(response -> respond(exchange, response, maxAgeMs));
    if (exchange.isInIoThread()) {
      exchange.dispatch(SameThreadExecutor.INSTANCE, () -> loop.execute(priority, event));
    } else {
      loop.execute(priority, event);
    }
  }

  private void respond(HttpServerExchange exchange, ApiResponse response, long maxAgeMs) {
    long createdMs = loop.nowMs();
    exchange
        .getIoThread()
        .execute(
            () ->
                send(
                    exchange, response.orUnavailableIfExpired(loop.nowMs() - createdMs, maxAgeMs)));
  }

  /**
   * Sends the response. Must be called on the I/O thread. Does nothing if a response has already
   * been started.
   */
  void send(HttpServerExchange exchange, ApiResponse response) {
    if (exchange.isResponseStarted()) {
      return;
    }
    if (response.status() == StatusCodes.SERVICE_UNAVAILABLE && !ready.getAsBoolean()) {
      // For a new connection the load balancer can choose a controller that is ready; on this
      // connection the client would reach this controller again.
      exchange.setPersistent(false);
    }
    exchange.setStatusCode(response.status());
    if (response.retryAfterS() > 0) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, response.retryAfterS());
    }
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, CONTENT_TYPE);
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, response.body().length);
    exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
  }
}
