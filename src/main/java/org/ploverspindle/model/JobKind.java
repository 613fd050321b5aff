package org.ploverspindle.model;

/** What a job's tasks are. */
public enum JobKind {
  /** Independent tasks; each runs to its end. */
  BATCH,
  /** Tasks that need each other: they start together or not at all. */
  GANG,
  /** Replicas that run until the job is cancelled. */
  SERVICE
}
