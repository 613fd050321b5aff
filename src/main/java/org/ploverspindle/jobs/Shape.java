package org.ploverspindle.jobs;

/** What a job's tasks are. */
public enum Shape {
  /** Independent tasks; each runs to its end. */
  BATCH,
  /** Replicas that run until the job is cancelled. */
  SERVICE
}
