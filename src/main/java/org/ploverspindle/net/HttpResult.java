package org.ploverspindle.net;

/** The outcome of a call: a response, or the reason why there is no usable response. */
public sealed interface HttpResult {
  /** The target responded, with any HTTP status. */
  record Response(int status, byte[] body) implements HttpResult {}

  /** No response arrived. The request may have been executed, or may be executed later. */
  record NoResponse(String reason) implements HttpResult {}

  /**
   * The body of the response is larger than the limit. A retry of the request is of no use.
   *
   * @param maxBytes the limit in bytes
   */
  record TooLarge(int maxBytes) implements HttpResult {}

  /** The request never left this process, so it has not been executed and will not be. */
  record NotSent(String reason) implements HttpResult {}
}
