package org.ploverspindle.api;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.EventLoop;
import org.ploverspindle.eventloop.EventPriority;
import org.ploverspindle.settings.Address;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * The HTTP side: routes, limits, and ranks. The I/O thread only reads and writes; what a request
 * means is found out on the loop, reports first.
 */
public final class UserApi {
  private static final int MAX_BODY = 64 * 1024;
  private static final String JOBS = "/submissions";

  /** Connections that wait to be accepted. After a change of leader the whole fleet connects. */
  private static final int LEAST_BACKLOG = 1_000;

  /** Users give up after two seconds, and workers after four. */
  private static final long ANSWER_KEEPS_MS = 1_000;

  private static final long REPORT_KEEPS_MS = 2_500;

  /**
   * How many connections, and for how long without a request.
   *
   * @param maxConnections sockets that the process may have
   * @param ours of these, those that we open ourselves
   * @param idleMs a connection that a cut has left half-open looks idle, and takes a socket until
   *     it is closed
   */
  public record Limits(int maxConnections, int ours, int idleMs) {
    /**
     * @param reportS workers report about so often, and their users ask as often
     */
    public static Limits of(int maxConnections, int ours, double reportS) {
      return new Limits(
          maxConnections,
          Math.min(ours, maxConnections / 2),
          (int) Math.max(10_000, 3_000 * reportS));
    }

    /** Connections that come in beyond these take the sockets of those that we open. */
    int mostAccepted() {
      return Math.max(2, maxConnections - ours);
    }

    /** With more than so many, users are sent away. */
    int mostWithUsers() {
      return mostAccepted() - Math.max(1, mostAccepted() / 25);
    }
  }

  /** What requests are handed to, on the loop. */
  public interface RequestHandler {
    void submit(byte[] body, Consumer<ApiResponse> then);

    void poll(String uid, Consumer<ApiResponse> then);

    void cancel(String uid, Consumer<ApiResponse> then);

    void heartbeat(byte[] body, Consumer<ApiResponse> then);

    void status(Consumer<ApiResponse> then);

    /** What is known of one job, and what it awaits, for people. */
    void explainJob(String uid, Consumer<ApiResponse> then);
  }

  private final EventLoop loop;
  private final RequestHandler handler;
  private final BooleanSupplier ready;
  private final int maxUserWork;
  private final int mostWithUsers;
  private final Undertow server;

  public UserApi(
      EventLoop loop,
      XnioWorker worker,
      Address at,
      Limits limits,
      RequestHandler handler,
      BooleanSupplier ready) {
    this.loop = loop;
    this.handler = handler;
    this.ready = ready;
    this.maxUserWork = Math.max(20, limits.maxConnections() / 8);
    this.mostWithUsers = limits.mostWithUsers();
    HttpHandler limited =
        Handlers.requestLimitingHandler(limits.mostAccepted(), limits.mostAccepted(), this::route);
    this.server =
        Undertow.builder()
            .setWorker(worker)
            .addHttpListener(at.port(), at.host())
            .setBufferSize(4096)
            .setDirectBuffers(true)
            .setSocketOption(Options.BACKLOG, Math.max(LEAST_BACKLOG, limits.mostAccepted()))
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) MAX_BODY)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, 5_000)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleMs())
            .setServerOption(UndertowOptions.ENABLE_STATISTICS, true)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .setServerOption(UndertowOptions.RECORD_REQUEST_START_TIME, false)
            .setHandler(limited)
            .build();
  }

  public void open() {
    server.start();
  }

  public void close() {
    server.stop();
  }

  private void route(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    HttpString method = exchange.getRequestMethod();
    switch (path) {
      case "/checkin" -> {
        if (allow(exchange, method, Methods.POST)) {
          body(exchange, (bytes, then) -> handler.heartbeat(bytes, then), EventPriority.HEARTBEAT);
        }
      }
      case "/ready" -> {
        if (allow(exchange, method, Methods.GET)) {
          send(
              exchange,
              ready.getAsBoolean()
                  ? ApiResponse.error(200, "")
                  : ApiResponse.retryLater(503, "not ready", 1));
        }
      }
      case "/status" -> {
        if (allow(exchange, method, Methods.GET)) {
          Optional<String> job =
              Optional.ofNullable(exchange.getQueryParameters().get("job")).map(Deque::peek);
          hand(
              exchange,
              EventPriority.SUBMISSION,
              then ->
                  job.ifPresentOrElse(
                      uid -> handler.explainJob(uid, then), () -> handler.status(then)));
        }
      }
      case JOBS -> {
        if (allow(exchange, method, Methods.POST) && admitted(exchange, EventPriority.SUBMISSION)) {
          body(exchange, handler::submit, EventPriority.SUBMISSION);
        }
      }
      default -> job(exchange, path, method);
    }
  }

  private void job(HttpServerExchange exchange, String path, HttpString method) {
    if (!path.startsWith(JOBS + "/")) {
      send(exchange, ApiResponse.error(404, "no such path"));
      return;
    }
    String rest = path.substring(JOBS.length() + 1);
    int slash = rest.indexOf('/');
    if (slash < 0) {
      if (allow(exchange, method, Methods.GET) && admitted(exchange, EventPriority.QUERY)) {
        hand(exchange, EventPriority.QUERY, then -> handler.poll(rest, then));
      }
    } else if (rest.substring(slash).equals("/withdraw")) {
      if (allow(exchange, method, Methods.POST) && admitted(exchange, EventPriority.SUBMISSION)) {
        String uid = rest.substring(0, slash);
        body(exchange, (bytes, then) -> handler.cancel(uid, then), EventPriority.SUBMISSION);
      }
    } else {
      send(exchange, ApiResponse.error(404, "no such path"));
    }
  }

  private boolean allow(HttpServerExchange exchange, HttpString method, HttpString only) {
    if (method.equals(only)) {
      return true;
    }
    exchange.getResponseHeaders().put(Headers.ALLOW, only.toString());
    send(exchange, ApiResponse.error(405, "the method must be " + only));
    return false;
  }

  /** Under overload users are told at once to come back: workers and decisions go first. */
  private boolean admitted(HttpServerExchange exchange, EventPriority rank) {
    if (connections() > mostWithUsers) {
      // The sockets that are left are for workers: who can't report loses its tasks.
      exchange.setPersistent(false);
      send(exchange, ApiResponse.retryLater(503, "no connections are left", 2));
      return false;
    }
    if (loop.backlog(rank) < maxUserWork) {
      return true;
    }
    send(exchange, ApiResponse.retryLater(429, "too much to do", 2));
    return false;
  }

  private long connections() {
    return server.getListenerInfo().get(0).getConnectorStatistics().getActiveConnections();
  }

  private interface WithBody {
    void accept(byte[] body, Consumer<ApiResponse> then);
  }

  private void body(HttpServerExchange exchange, WithBody work, EventPriority rank) {
    Receiver receiver = exchange.getRequestReceiver();
    receiver.setMaxBufferSize(MAX_BODY);
    receiver.receiveFullBytes(
        (ex, bytes) -> hand(ex, rank, then -> work.accept(bytes, then)),
        (ex, e) -> {
          boolean tooLarge = e instanceof Receiver.RequestToLargeException;
          if (tooLarge || ex.getRequestContentLength() > MAX_BODY) {
            ex.setPersistent(false);
            send(ex, ApiResponse.error(413, "the body is too large"));
          } else {
            ex.setPersistent(false);
            send(ex, ApiResponse.error(400, "the body could not be read"));
          }
        });
  }

  private void hand(
      HttpServerExchange exchange, EventPriority rank, Consumer<Consumer<ApiResponse>> work) {
    long keepsMs = rank == EventPriority.HEARTBEAT ? REPORT_KEEPS_MS : ANSWER_KEEPS_MS;
    Runnable task = () -> work.accept(a -> reply(exchange, a, keepsMs));
    if (exchange.isInIoThread()) {
      exchange.dispatch(SameThreadExecutor.INSTANCE, () -> loop.execute(rank, task));
    } else {
      loop.execute(rank, task);
    }
  }

  private void reply(HttpServerExchange exchange, ApiResponse answer, long keepsMs) {
    long madeMs = loop.nowMs();
    exchange
        .getIoThread()
        .execute(() -> send(exchange, answer.after(loop.nowMs() - madeMs, keepsMs)));
  }

  private void send(HttpServerExchange exchange, ApiResponse answer) {
    if (exchange.isResponseStarted()) {
      return;
    }
    if (answer.status() == 503 && !ready.getAsBoolean()) {
      // A new connection leads to a controller that can answer; this one would ask here again.
      exchange.setPersistent(false);
    }
    exchange.setStatusCode(answer.status());
    if (answer.retryAfterS() > 0) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, answer.retryAfterS());
    }
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, answer.body().length);
    exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
  }
}
