package org.ploverspindle.model;

/** The priority of a job. The constants are declared in order of priority, the highest first. */
public enum Priority {
  CRITICAL,
  HIGH,
  NORMAL,
  BEST_EFFORT
}
