package org.ploverspindle.net;

import java.util.function.Consumer;

/** Sends HTTP requests to one target. Outcomes are delivered on the event loop. */
public interface HttpClient {
  /**
   * Sends one request.
   *
   * @param body may be empty: then none is sent
   * @param timeoutMs covers waiting for a connection, connecting, sending and reading
   * @param then is called exactly once with the outcome
   */
  void send(String method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> callback);
}
