package org.ploverspindle.api;

/** A job's status as users see it. */
enum JobStatus {
  /** The job is accepted, and none of its tasks is running. */
  QUEUED("queued"),
  /** At least one task of the job is running. */
  RUNNING("running"),
  /** All tasks of the job are completed. This status is final. */
  DONE("done"),
  /** The job is cancelled, or one of its dependencies is aborted. This status is final. */
  ABORTED("aborted");

  private final String wireName;

  JobStatus(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name that users see in response bodies and operators see in explanations. */
  String wireName() {
    return wireName;
  }
}
