package org.ploverspindle.net;

/** The outcome of a call: a response, or the reason why there is none. */
public sealed interface Reply {
  /** The target responded, with any HTTP status. */
  record Answer(int status, byte[] body) implements Reply {}

  /** No response: the request may have been executed, or may yet be executed later. */
  record Silence(String reason) implements Reply {}

  /** The target answered with more than is read: asking again in the same way is no use. */
  record TooLarge(int maxBytes) implements Reply {}

  /** The request never left this process. */
  record NotSent(String reason) implements Reply {}
}
