package org.ploverspindle.eventloop;

/** Priority classes of waiting work, the first one first. */
public enum EventPriority {
  /** Workers' reports. A late response lets leases expire, which ends running tasks. */
  HEARTBEAT,
  /** Decisions, timers, and responses of the state service, the cloud and workers. */
  DECISION,
  /** Users' submissions and cancellations. */
  SUBMISSION,
  /** Users' queries. However many there are, they delay no submission. */
  QUERY
}
