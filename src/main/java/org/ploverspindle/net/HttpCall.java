package org.ploverspindle.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.net.URI;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.EventPriority;
import org.ploverspindle.eventloop.Scheduler;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/**
 * One request and its response, within a time limit. A call has exactly one outcome, which is
 * delivered on the event loop. Must be used on the I/O thread only.
 */
final class HttpCall {
  private static final String CONTENT_TYPE = "application/cbor";
  private static final String CONNECTION_CLOSE = "close";

  /**
   * A request to a target.
   *
   * @param target the scheme, host and port of the target
   * @param body the body; if it is empty, the request is sent without a body
   */
  record Request(URI target, String method, String path, byte[] body) {
    boolean hasBody() {
      return body.length > 0;
    }

    private ClientRequest toClientRequest() {
      ClientRequest request =
          new ClientRequest()
              .setMethod(new HttpString(method))
              .setPath(path)
              .setProtocol(Protocols.HTTP_1_1);
      request.getRequestHeaders().put(Headers.HOST, target.getAuthority());
      if (hasBody()) {
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, CONTENT_TYPE);
      }
      return request;
    }
  }

  private final Scheduler scheduler;
  private final XnioIoThread ioThread;
  private final ConnectionPool connectionPool;
  private final Request request;
  private final Consumer<HttpResult> callback;
  private final ResponseBody responseBody = new ResponseBody();
  private Optional<XnioExecutor.Key> timeout = Optional.empty();

  /**
   * The connection that was assigned to the call. While it is empty, the request has not left this
   * process; once it is present, the request may have.
   */
  private Optional<ClientConnection> connection = Optional.empty();

  private boolean finished;

  HttpCall(
      Scheduler scheduler,
      XnioIoThread ioThread,
      ConnectionPool connectionPool,
      Request request,
      Consumer<HttpResult> callback) {
    this.scheduler = scheduler;
    this.ioThread = ioThread;
    this.connectionPool = connectionPool;
    this.request = request;
    this.callback = callback;
  }

  /**
   * Starts the time limit and waits for a connection. If too many calls wait already, the call ends
   * at once without being sent.
   */
  void submit(long timeoutMs) {
    if (connectionPool.isQueueFull()) {
      finish(
          new HttpResult.NotSent(
              "queue is full, "
                  + ConnectionPool.MAX_WAITING_CALLS
                  + " calls wait for a connection to "
                  + request.target()));
      return;
    }
    timeout =
        Optional.of(ioThread.executeAfter(() -> fail("timeout"), timeoutMs, TimeUnit.MILLISECONDS));
    connectionPool.enqueue(this);
  }

  boolean isFinished() {
    return finished;
  }

  /** Sends the request on the assigned connection. */
  void start(ClientConnection assigned) {
    connection = Optional.of(assigned);
    assigned.sendRequest(request.toClientRequest(), onSuccess(this::handleSent));
  }

  /** Returns a callback that runs the next step, or ends the call if the step before failed. */
  private ClientCallback<ClientExchange> onSuccess(Consumer<ClientExchange> next) {
    return new ClientCallback<>() {
      @Override
      public void completed(ClientExchange exchange) {
        next.accept(exchange);
      }

      @Override
      public void failed(IOException cause) {
        fail(cause);
      }
    };
  }

  private void handleSent(ClientExchange exchange) {
    exchange.setResponseListener(onSuccess(this::handleResponse));
    if (request.hasBody()) {
      new RequestBodyWriter(request.body(), this::fail).writeTo(exchange.getRequestChannel());
    }
  }

  private void handleResponse(ClientExchange exchange) {
    StreamSourceChannel channel = exchange.getResponseChannel();
    channel.getReadSetter().set(readable -> read(exchange, readable));
    read(exchange, channel);
  }

  private void read(ClientExchange exchange, StreamSourceChannel channel) {
    if (finished) {
      return;
    }
    try {
      switch (responseBody.readFrom(channel)) {
        case INCOMPLETE -> channel.resumeReads();
        case COMPLETE -> succeed(exchange);
        case TOO_LARGE ->
            finishAndDiscardConnection(new HttpResult.TooLarge(ResponseBody.MAX_BYTES));
      }
    } catch (IOException e) {
      fail(e);
    }
  }

  private void succeed(ClientExchange exchange) {
    int status = exchange.getResponse().getResponseCode();
    String connectionHeader =
        exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION);
    finish(new HttpResult.Response(status, responseBody.toByteArray()));
    connectionPool.release(
        connection.orElseThrow(), !CONNECTION_CLOSE.equalsIgnoreCase(connectionHeader));
  }

  /** Ends the call without a response, unless it has ended already. */
  void fail(IOException cause) {
    fail("I/O error: " + cause.getMessage());
  }

  private void fail(String reason) {
    if (finished) {
      return;
    }
    connectionPool.dequeue(this);
    finishAndDiscardConnection(
        connection.isPresent()
            ? new HttpResult.NoResponse(reason)
            : new HttpResult.NotSent(reason));
  }

  /** Ends the call with this result, and closes its connection if one was assigned. */
  private void finishAndDiscardConnection(HttpResult result) {
    finish(result);
    connection.ifPresentOrElse(connectionPool::discard, connectionPool::handleUnsentCallEnded);
  }

  private void finish(HttpResult result) {
    if (finished) {
      return;
    }
    finished = true;
    timeout.ifPresent(XnioExecutor.Key::remove);
    scheduler.execute(EventPriority.DECISION, () -> callback.accept(result));
  }
}
