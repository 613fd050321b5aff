package org.ploverspindle.policy;

/** Signals an error in one line of a policy. */
final class PolicyException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * @param column the column of the error in the line, counted from 1
   */
  PolicyException(int column, String message) {
    super(message + " (column " + column + ")");
  }
}
