package org.ploverspindle.api;

import io.undertow.util.StatusCodes;

/**
 * A response to a request of a user or a worker.
 *
 * @param status the HTTP status
 * @param body a CBOR map
 * @param retryAfterS seconds for the {@code Retry-After} header; 0 leaves the header out
 */
public record ApiResponse(int status, byte[] body, int retryAfterS) {
  private static final int MISDIRECTED_REQUEST = 421;

  /** Statuses from here on are not successes. */
  private static final int FIRST_NON_SUCCESS_STATUS = 300;

  static ApiResponse of(int status, byte[] body) {
    return new ApiResponse(status, body, 0);
  }

  static ApiResponse error(int status, String message) {
    return of(status, ResponseCodec.encodeError(message));
  }

  /** 421: another controller leads, and is the one to ask. */
  public static ApiResponse redirectToLeader(String leader) {
    return of(MISDIRECTED_REQUEST, ResponseCodec.encodeLeader(leader));
  }

  /** 200 with a line for operators. */
  public static ApiResponse text(String line) {
    return of(StatusCodes.OK, ResponseCodec.encodeText(line));
  }

  /** A failure that is reported at once, with the time after which to ask again. */
  public static ApiResponse retryLater(int status, String message, int retryAfterS) {
    return new ApiResponse(status, ResponseCodec.encodeError(message), retryAfterS);
  }

  /** 404: the replica, read after the request was received, has no such job. */
  static ApiResponse noSuchJob() {
    return error(StatusCodes.NOT_FOUND, "no such job");
  }

  /** 503: the replica can't be brought up to date in the user's time. */
  static ApiResponse stateUnavailable() {
    return retryLater(StatusCodes.SERVICE_UNAVAILABLE, "the state can't be read now", 1);
  }

  /**
   * This response, or a 503 in its place when it asserts a state and has become too old to be sent.
   * A process that was suspended in between must not assert what other controllers may have
   * contradicted meanwhile.
   *
   * @param ageMs time since this response was made
   * @param maxAgeMs age up to which it may be sent
   */
  ApiResponse orUnavailableIfExpired(long ageMs, long maxAgeMs) {
    boolean assertsState = status < FIRST_NON_SUCCESS_STATUS || status == StatusCodes.NOT_FOUND;
    return assertsState && ageMs > maxAgeMs
        ? retryLater(StatusCodes.SERVICE_UNAVAILABLE, "the answer is no longer new", 1)
        : this;
  }
}
