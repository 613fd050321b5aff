package org.ploverspindle.model;

/** Priorities of jobs, the highest first: the order of the constants is the order of priority. */
public enum Priority {
  CRITICAL,
  HIGH,
  NORMAL,
  BEST_EFFORT
}
