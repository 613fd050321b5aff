package org.ploverspindle.loop;

/** Order in which waiting work is taken when there is more than can be done. */
public enum Rank {
  /** Reports of workers: late answers let leases run out and kill work. */
  REPORT,
  /** Decisions, timers and answers from outside systems. */
  DECISION,
  /** What users want done. */
  SUBMISSION,
  /** Questions of users: however many there are, submissions keep their time. */
  POLL
}
