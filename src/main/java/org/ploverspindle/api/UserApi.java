package org.ploverspindle.api;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.EventLoop;
import org.ploverspindle.settings.Address;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * The HTTP server for users and workers. The I/O thread only reads requests and writes responses;
 * requests are handled on the event loop, heartbeats before all others.
 */
public final class UserApi {
  /**
   * Minimum number of connections that may wait to be accepted: after a failover all workers
   * connect at once.
   */
  private static final int MIN_ACCEPT_BACKLOG = 1_000;

  private static final int BUFFER_BYTES = 4_096;
  private static final int REQUEST_PARSE_TIMEOUT_MS = 5_000;

  /**
   * Handles requests on the event loop. Each method calls {@code responder} once with the response.
   */
  public interface RequestHandler {
    /** Handles the submission of a job. */
    void submit(byte[] body, Consumer<ApiResponse> responder);

    /** Responds with a job's state. */
    void poll(String uid, Consumer<ApiResponse> responder);

    /** Cancels a job. */
    void cancel(String uid, Consumer<ApiResponse> responder);

    /** Handles a worker's heartbeat. */
    void heartbeat(byte[] body, Consumer<ApiResponse> responder);

    /** Responds with this controller's status, for operators. */
    void status(Consumer<ApiResponse> responder);

    /**
     * Responds with what this controller knows about one job and its dependencies, for operators.
     */
    void explainJob(String uid, Consumer<ApiResponse> responder);
  }

  private final Undertow server;

  /**
   * @param ready whether users should be sent to this controller; must be safe to call on any
   *     thread
   */
  public UserApi(
      EventLoop loop,
      XnioWorker worker,
      Address address,
      ConnectionLimits limits,
      RequestHandler handler,
      BooleanSupplier ready) {
    RequestDispatcher dispatcher = new RequestDispatcher(loop, ready);
    UserAdmission admission = new UserAdmission(loop, limits, this::activeConnections, dispatcher);
    HttpHandler router = new RequestRouter(handler, admission, dispatcher, ready);
    this.server = server(worker, address, limits, router);
  }

  private static Undertow server(
      XnioWorker worker, Address address, ConnectionLimits limits, HttpHandler router) {
    int maxAcceptedConnections = limits.maxAcceptedConnections();
    return Undertow.builder()
        .setWorker(worker)
        .addHttpListener(address.port(), address.host())
        .setBufferSize(BUFFER_BYTES)
        .setDirectBuffers(true)
        .setSocketOption(Options.BACKLOG, Math.max(MIN_ACCEPT_BACKLOG, maxAcceptedConnections))
        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) RequestDispatcher.MAX_BODY_BYTES)
        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MS)
        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleTimeoutMs())
        .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
        .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
        .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
        .setHandler(
            Handlers.requestLimitingHandler(maxAcceptedConnections, maxAcceptedConnections, router))
        .build();
  }

  private long activeConnections() {
    return server.getListenerInfo().get(0).getConnectorStatistics().getActiveConnections();
  }

  /** Starts accepting connections. */
  public void open() {
    server.start();
  }

  /** Closes the listening socket and all connections. */
  public void close() {
    server.stop();
  }
}
