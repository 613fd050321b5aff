package org.ploverspindle.model;

/** How the tasks of a job relate to each other, and whether they end. */
public enum JobKind {
  /** A job array: its tasks are independent, and each runs to completion. */
  BATCH,
  /** A gang: its tasks start together or not at all. */
  GANG,
  /** A service: its tasks run until the job is cancelled. */
  SERVICE
}
