package org.ploverspindle.policy;

/** A problem in one line of a policy, with its column. */
final class PolicyException extends Exception {
  private static final long serialVersionUID = 1L;

  PolicyException(int column, String message) {
    super(message + " (column " + column + ")");
  }
}
