package org.ploverspindle.model;

/** How the tasks of a job relate to each other, and whether they end. */
public enum JobKind {
  /** A job array: independent tasks, each of which runs to completion. */
  BATCH,
  /** A gang: its tasks start together or not at all. */
  GANG,
  /** Replicas that run until the job is cancelled. */
  SERVICE
}
