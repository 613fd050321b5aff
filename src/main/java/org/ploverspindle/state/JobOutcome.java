package org.ploverspindle.state;

/** How a job ended. Outcomes are final. */
public enum JobOutcome {
  /** All tasks are completed, and that is recorded. */
  DONE,
  /** The job's own cancellation is recorded. */
  CANCELLED,
  /** A direct or indirect dependency is cancelled. This is derived, and not recorded. */
  ABORTED_BY_DEPENDENCY
}
