package org.ploverspindle.workers;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.ploverspindle.net.Caller;
import org.ploverspindle.net.Reply;

/**
 * Orders to workers over HTTP. Each call has a connection of its own: calls are rare, and hundreds
 * of kept-alive connections would take the sockets that reports and users need.
 */
public final class HttpWorkerClient implements WorkerClient {
  private static final int HTTP_OK = 200;
  private static final int HTTP_CONFLICT = 409;
  private static final long TIMEOUT_MS = 1_500;

  private final Function<String, Caller> callers;

  public HttpWorkerClient(Function<String, Caller> callers) {
    this.callers = callers;
  }

  @Override
  public void order(
      String address,
      long token,
      long tenure,
      List<Order> orders,
      Consumer<Optional<Report>> then) {
    callers
        .apply(address)
        .call(
            "POST",
            "/do",
            ReportCodec.encodeDirect(token, tenure, orders),
            TIMEOUT_MS,
            r -> then.accept(report(r)));
  }

  /**
   * A refusal carries a report as well: the session has ended, or a higher token is known there.
   */
  private static Optional<Report> report(Reply reply) {
    return reply instanceof Reply.Answer a && (a.status() == HTTP_OK || a.status() == HTTP_CONFLICT)
        ? ReportCodec.decode(a.body())
        : Optional.empty();
  }
}
