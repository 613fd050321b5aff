package org.ploverspindle.progress;

import org.ploverspindle.state.ProgressLogRecord;

/** How much may go into one transaction. The bounds only ever fall. */
final class WriteLimits {
  private static final int MAX_TXN_BYTES = 56 * 1024;

  /** Whatever the store would take: several records should fit into one transaction. */
  private static final int MAX_VALUE_BYTES = 16 * 1024;

  /** As small as a refused write's values are made: a record of one task still fits. */
  private static final int LEAST_VALUE_BYTES = 512;

  /** What a log record's value may take beyond its counted size. */
  private static final int RECORD_MARGIN_BYTES = 100;

  /** What a task takes in a record in most cases; a record that gets too large is cut. */
  private static final int TYPICAL_TASK_BYTES = 16;

  private static final int CONDITIONS_PER_CHANGE = 4;

  private int changes;
  private int valueBytes;
  private int txnBytes = MAX_TXN_BYTES;

  WriteLimits(int changes, int valueBytes) {
    this.changes = changes;
    this.valueBytes = Math.min(valueBytes, MAX_VALUE_BYTES);
  }

  int changes() {
    return changes;
  }

  int valueBytes() {
    return valueBytes;
  }

  int recordBytes() {
    return valueBytes - RECORD_MARGIN_BYTES;
  }

  /** The first guess at how many tasks of a job fit into a record. */
  int tasksInRecord() {
    return Math.max(
        ProgressLogRecord.Builder.tasksThatFit(valueBytes), valueBytes / TYPICAL_TASK_BYTES);
  }

  /** Is there room for two more conditions, which is as many as a change needs? */
  boolean roomForConditions(int taken) {
    return taken + 2 <= changes * CONDITIONS_PER_CHANGE;
  }

  /** Is there room for one more value of any size? */
  boolean roomForValue(int takenBytes) {
    return takenBytes < txnBytes - valueBytes;
  }

  /**
   * A write as large as this is not tried again: what the service does not take now it never takes.
   * The lower bounds stay for the term, as nobody tells when more would be taken.
   */
  void refused(int refusedChanges, int refusedBytes, int largestValueBytes) {
    changes = Math.max(1, Math.min(changes, refusedChanges) / 2);
    if (largestValueBytes > LEAST_VALUE_BYTES) {
      valueBytes = Math.max(LEAST_VALUE_BYTES, Math.min(valueBytes, largestValueBytes) / 2);
    }
    txnBytes = Math.max(2 * LEAST_VALUE_BYTES, Math.min(txnBytes, refusedBytes) / 2);
  }
}
