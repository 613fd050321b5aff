package org.ploverspindle.jobs;

/** Priorities, the highest first. */
public enum Priority {
  CRITICAL,
  HIGH,
  NORMAL,
  BEST_EFFORT
}
