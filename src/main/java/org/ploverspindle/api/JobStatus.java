package org.ploverspindle.api;

/** A job's status as users see it. */
enum JobStatus {
  /** Accepted, and none of its tasks runs. */
  QUEUED("queued"),
  /** At least one of its tasks runs. */
  RUNNING("running"),
  /** All its tasks are completed. Final. */
  DONE("done"),
  /** Cancelled, or a dependency is aborted. Final. */
  ABORTED("aborted");

  private final String wireName;

  JobStatus(String wireName) {
    this.wireName = wireName;
  }

  /** The name that users see, in response bodies and in explanations. */
  String wireName() {
    return wireName;
  }
}
