package org.ploverspindle.jobs;

/** Priorities, the highest first. */
public enum Urgency {
  CRITICAL,
  HIGH,
  NORMAL,
  BEST_EFFORT
}
