package org.ploverspindle.policy;

/** A problem in one line of a policy. */
final class PolicyException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * @param column where the problem is in the line, counted from 1
   */
  PolicyException(int column, String message) {
    super(message + " (column " + column + ")");
  }
}
