package org.ploverspindle.net;

import java.util.function.Consumer;

/** Sends HTTP requests to one target. Outcomes are delivered on the event loop. */
public interface HttpClient {
  /**
   * Sends one request.
   *
   * @param body the body; if it is empty, the request is sent without a body
   * @param timeoutMs time limit in milliseconds for waiting for a connection, connecting, sending
   *     and reading together
   * @param callback is called exactly once with the outcome, on the event loop
   */
  void send(String method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> callback);
}
