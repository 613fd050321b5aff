package org.ploverspindle.api;

import io.undertow.util.StatusCodes;

/**
 * An HTTP response to a request of a user or a worker.
 *
 * @param status the HTTP status
 * @param body an encoded CBOR map
 * @param retryAfterS seconds for the {@code Retry-After} header; 0 leaves the header out
 */
public record ApiResponse(int status, byte[] body, int retryAfterS) {
  private static final int MISDIRECTED_REQUEST = 421;

  /** HTTP statuses from this one on do not report success. */
  private static final int FIRST_NON_SUCCESS_STATUS = 300;

  static ApiResponse of(int status, byte[] body) {
    return new ApiResponse(status, body, 0);
  }

  static ApiResponse error(int status, String message) {
    return of(status, ResponseCodec.encodeError(message));
  }

  /** Returns a 421: another controller leads, and the client must send its request to that one. */
  public static ApiResponse redirectToLeader(String leader) {
    return of(MISDIRECTED_REQUEST, ResponseCodec.encodeLeader(leader));
  }

  /** Returns a 200 with a line of text for operators. */
  public static ApiResponse operatorText(String line) {
    return of(StatusCodes.OK, ResponseCodec.encodeText(line));
  }

  /**
   * Returns an error after which the client may retry, with the time in seconds to wait before
   * that.
   */
  public static ApiResponse retryLater(int status, String message, int retryAfterS) {
    return new ApiResponse(status, ResponseCodec.encodeError(message), retryAfterS);
  }

  /**
   * Returns a 404: the uid is invalid, or the replica, read after the request was received, has no
   * such job.
   */
  static ApiResponse noSuchJob() {
    return error(StatusCodes.NOT_FOUND, "no such job");
  }

  /**
   * Returns a 503: the state service can't be read or written within the time that the user waits.
   */
  static ApiResponse stateUnavailable() {
    return retryLater(StatusCodes.SERVICE_UNAVAILABLE, "the state can't be read now", 1);
  }

  /**
   * Returns this response, or a 503 instead of it if it asserts a state and is too old to be sent.
   * If this process was suspended after it created the response, another controller may have
   * contradicted the response meanwhile.
   *
   * @param ageMs milliseconds since this response was created
   * @param maxAgeMs largest age in milliseconds at which a response that asserts a state may be
   *     sent
   */
  ApiResponse orUnavailableIfExpired(long ageMs, long maxAgeMs) {
    boolean assertsState = status < FIRST_NON_SUCCESS_STATUS || status == StatusCodes.NOT_FOUND;
    return assertsState && ageMs > maxAgeMs
        ? retryLater(StatusCodes.SERVICE_UNAVAILABLE, "the answer is no longer new", 1)
        : this;
  }
}
