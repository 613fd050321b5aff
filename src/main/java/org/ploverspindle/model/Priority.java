package org.ploverspindle.model;

/** Priorities, the highest first. */
public enum Priority {
  CRITICAL,
  HIGH,
  NORMAL,
  BEST_EFFORT
}
