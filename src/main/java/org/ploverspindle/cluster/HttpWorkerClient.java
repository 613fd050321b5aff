package org.ploverspindle.cluster;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.ploverspindle.net.HttpClient;
import org.ploverspindle.net.HttpResult;

/**
 * Orders to workers over HTTP. Each call has a connection of its own: calls are rare, and hundreds
 * of kept-alive connections would take the sockets that reports and users need.
 */
public final class HttpWorkerClient implements WorkerClient {
  private static final int HTTP_OK = 200;
  private static final int HTTP_CONFLICT = 409;
  private static final long TIMEOUT_MS = 1_500;

  private final Function<String, HttpClient> callers;

  public HttpWorkerClient(Function<String, HttpClient> callers) {
    this.callers = callers;
  }

  @Override
  public void send(
      String address,
      long token,
      long tenure,
      List<WorkerCommand> orders,
      Consumer<Optional<Heartbeat>> then) {
    callers
        .apply(address)
        .send(
            "POST",
            "/do",
            HeartbeatCodec.encodeDirectCommand(token, tenure, orders),
            TIMEOUT_MS,
            r -> then.accept(report(r)));
  }

  /**
   * A refusal carries a report as well: the session has ended, or a higher token is known there.
   */
  private static Optional<Heartbeat> report(HttpResult reply) {
    return reply instanceof HttpResult.Response a
            && (a.status() == HTTP_OK || a.status() == HTTP_CONFLICT)
        ? HeartbeatCodec.decode(a.body())
        : Optional.empty();
  }
}
