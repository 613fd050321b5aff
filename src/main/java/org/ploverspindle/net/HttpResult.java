package org.ploverspindle.net;

/** The outcome of a call: a response, or the reason why there is none. */
public sealed interface HttpResult {
  /** The target responded, with any HTTP status. */
  record Response(int status, byte[] body) implements HttpResult {}

  /** No response: the request may have been executed, or may yet be executed later. */
  record NoResponse(String reason) implements HttpResult {}

  /** The response's body is larger than what is read: repeating the request is of no use. */
  record TooLarge(int maxBytes) implements HttpResult {}

  /** The request never left this process. */
  record NotSent(String reason) implements HttpResult {}
}
