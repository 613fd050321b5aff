package org.ploverspindle.api;

/** Thrown for a submission with a field that is missing or invalid. */
final class MalformedSubmissionException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * @param field the field's wire name
   */
  MalformedSubmissionException(String field) {
    super(field);
  }

  /**
   * @param field the field's wire name
   * @param value the received value, which the protocol does not define
   */
  MalformedSubmissionException(String field, String value) {
    super(field + ": " + value);
  }
}
