package org.ploverspindle.cluster;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.ploverspindle.net.HttpClient;
import org.ploverspindle.net.HttpResult;

/**
 * Sends commands to agents over HTTP. Each request has a connection of its own: requests are rare,
 * and hundreds of kept connections would use up the sockets that heartbeats and users need.
 */
public final class HttpWorkerClient implements WorkerClient {
  private static final int HTTP_OK = 200;
  private static final int HTTP_CONFLICT = 409;
  private static final long TIMEOUT_MS = 1_500;

  private final Function<String, HttpClient> clients;

  /**
   * @param clients the client for an agent's address
   */
  public HttpWorkerClient(Function<String, HttpClient> clients) {
    this.clients = clients;
  }

  @Override
  public void send(
      String address,
      long fencingToken,
      long agentEpoch,
      List<WorkerCommand> commands,
      Consumer<Optional<Heartbeat>> then) {
    clients
        .apply(address)
        .send(
            "POST",
            "/do",
            HeartbeatCodec.encodeDirectCommand(fencingToken, agentEpoch, commands),
            TIMEOUT_MS,
            result -> then.accept(heartbeat(result)));
  }

  /**
   * The heartbeat in the response. A refusal has one as well: the agent is in a later epoch, or has
   * received a higher token.
   */
  private static Optional<Heartbeat> heartbeat(HttpResult result) {
    return result instanceof HttpResult.Response response
            && (response.status() == HTTP_OK || response.status() == HTTP_CONFLICT)
        ? HeartbeatCodec.decode(response.body())
        : Optional.empty();
  }
}
