package org.ploverspindle.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ploverspindle.net.Cbor;

/** What a request is answered with. {@code retryAfterS} of 0: nothing is said of coming back. */
public record ApiResponse(int status, byte[] body, int retryAfterS) {

  static ApiResponse of(int status, ObjectNode body) {
    return new ApiResponse(status, Cbor.write(body), 0);
  }

  static ApiResponse error(int status, String message) {
    return of(status, Cbor.map().put("error", message));
  }

  /** Another node is the one to ask. */
  public static ApiResponse redirectToLeader(String member) {
    return of(421, Cbor.map().put("steward", member));
  }

  /** A line for people. */
  public static ApiResponse text(String line) {
    return of(200, Cbor.map().put("status", line));
  }

  /**
   * What goes out for this answer when so much time has passed since it was made: a process that
   * stood still in between must not say what others may have contradicted meanwhile.
   */
  ApiResponse after(long ageMs, long keepsMs) {
    boolean tells = status < 300 || status == 404;
    return tells && ageMs > keepsMs ? retryLater(503, "the answer is no longer new", 1) : this;
  }

  /** Can't be done now: said at once, with when to come back. */
  public static ApiResponse retryLater(int status, String message, int afterS) {
    return new ApiResponse(status, Cbor.write(Cbor.map().put("error", message)), afterS);
  }
}
