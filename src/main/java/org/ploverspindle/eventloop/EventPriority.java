package org.ploverspindle.eventloop;

/** The priorities of work that waits on the event loop, the highest first. */
public enum EventPriority {
  /** Heartbeats of workers. A late response lets worker leases expire, which ends running tasks. */
  HEARTBEAT,
  /** Decisions, responses of the state service, the cloud and workers, and peer messages. */
  DECISION,
  /** Submissions and cancellations of users. */
  SUBMISSION,
  /** Queries of users. They have the lowest priority, so that they never delay submissions. */
  QUERY
}
