package org.ploverspindle.cluster;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.ploverspindle.net.HttpClient;
import org.ploverspindle.net.HttpResult;

/**
 * Sends direct commands to workers over HTTP. Each request uses its own connection: requests are
 * rare, and hundreds of idle connections would use up the sockets that heartbeats and users need.
 */
public final class HttpWorkerClient implements WorkerClient {
  private static final int HTTP_OK = 200;
  private static final int HTTP_CONFLICT = 409;
  private static final long TIMEOUT_MS = 1_500;

  private final Function<String, HttpClient> clients;

  /**
   * @param clients returns the HTTP client for a worker's address
   */
  public HttpWorkerClient(Function<String, HttpClient> clients) {
    this.clients = clients;
  }

  @Override
  public void send(
      String address,
      long fencingToken,
      long workerEpoch,
      List<WorkerCommand> commands,
      Consumer<Optional<Heartbeat>> callback) {
    clients
        .apply(address)
        .send(
            "POST",
            "/do",
            HeartbeatCodec.encodeDirectCommand(fencingToken, workerEpoch, commands),
            TIMEOUT_MS,
            result -> callback.accept(heartbeat(result)));
  }

  /**
   * Decodes the heartbeat in the response. A response that rejects the commands contains one as
   * well: the worker is in a later epoch or has received a higher fencing token.
   */
  private static Optional<Heartbeat> heartbeat(HttpResult result) {
    return result instanceof HttpResult.Response response
            && (response.status() == HTTP_OK || response.status() == HTTP_CONFLICT)
        ? HeartbeatCodec.decode(response.body())
        : Optional.empty();
  }
}
