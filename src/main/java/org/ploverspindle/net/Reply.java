package org.ploverspindle.net;

/** What became of a call: an answer, or none. */
public sealed interface Reply {
  record Answer(int status, byte[] body) implements Reply {}

  /** No answer: the request may have been executed, or may yet be executed later. */
  record Silence(String reason) implements Reply {}

  /** The request never left this process. */
  record NotSent(String reason) implements Reply {}
}
