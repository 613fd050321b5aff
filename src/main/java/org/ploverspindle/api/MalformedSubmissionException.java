package org.ploverspindle.api;

/** A submission with a field that is missing or invalid. */
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
   * @param value a value that the protocol does not have
   */
  MalformedSubmissionException(String field, String value) {
    super(field + ": " + value);
  }
}
