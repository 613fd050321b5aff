package org.ploverspindle.front;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ploverspindle.net.Cbor;

/** What a request is answered with. {@code retryAfterS} of 0: nothing is said of coming back. */
public record Answer(int status, byte[] body, int retryAfterS) {

  static Answer of(int status, ObjectNode body) {
    return new Answer(status, Cbor.write(body), 0);
  }

  static Answer error(int status, String message) {
    return of(status, Cbor.map().put("error", message));
  }

  /** Another node is the one to ask. */
  public static Answer elsewhere(String member) {
    return of(421, Cbor.map().put("steward", member));
  }

  /** A line for people. */
  public static Answer text(String line) {
    return of(200, Cbor.map().put("status", line));
  }

  /**
   * What goes out for this answer when so much time has passed since it was made: a process that
   * stood still in between must not say what others may have contradicted meanwhile.
   */
  Answer after(long ageMs, long keepsMs) {
    boolean tells = status < 300 || status == 404;
    return tells && ageMs > keepsMs ? later(503, "the answer is no longer new", 1) : this;
  }

  /** Can't be done now: said at once, with when to come back. */
  public static Answer later(int status, String message, int afterS) {
    return new Answer(status, Cbor.write(Cbor.map().put("error", message)), afterS);
  }
}
