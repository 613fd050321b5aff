package org.ploverspindle.eventloop;

/** Priorities of waiting work, the highest first. */
public enum EventPriority {
  /** Workers' heartbeats. A late response lets leases expire, which ends running tasks. */
  HEARTBEAT,
  /** Decisions, and responses of the state service, the cloud and workers. */
  DECISION,
  /** Users' submissions and cancellations. */
  SUBMISSION,
  /** Users' queries. However many there are, they delay no submission. */
  QUERY
}
