package org.ploverspindle.progress;

import org.ploverspindle.state.ProgressLogRecord;

/** How much may go into one transaction. The limits are lowered when a transaction is refused. */
final class WriteLimits {
  private static final int MAX_TXN_BYTES = 56 * 1024;

  /** Also where the state service allows more: several records should fit into a transaction. */
  private static final int MAX_VALUE_BYTES = 16 * 1024;

  /** Lowest limit on values: a record of a single task still fits. */
  private static final int MIN_VALUE_BYTES = 512;

  /** How much larger a log record's value may be than the size that its builder counts. */
  private static final int RECORD_MARGIN_BYTES = 100;

  /** Typical size of a task in a record; a record that gets too large holds fewer tasks. */
  private static final int TYPICAL_TASK_BYTES = 16;

  /** The state service allows so many conditions for each change that it allows. */
  private static final int CONDITIONS_PER_CHANGE = 4;

  private static final int MAX_CONDITIONS_OF_A_CHANGE = 2;

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

  /** How many tasks of a job are tried first to fit into a record. */
  int tasksInRecord() {
    return Math.max(
        ProgressLogRecord.Builder.tasksThatFit(valueBytes), valueBytes / TYPICAL_TASK_BYTES);
  }

  /** Whether the conditions that a change may need fit beside this number of conditions. */
  boolean roomForConditions(int conditions) {
    return conditions + MAX_CONDITIONS_OF_A_CHANGE <= changes * CONDITIONS_PER_CHANGE;
  }

  /** Whether a value of any size fits into a transaction that has this many bytes. */
  boolean roomForValue(int bytes) {
    return bytes < txnBytes - valueBytes;
  }

  /**
   * A transaction of this size was refused. The limits are lowered below it and stay so for the
   * term, since the state service does not announce when it accepts more again.
   */
  void refused(int refusedChanges, int refusedBytes, int largestValueBytes) {
    changes = Math.max(1, Math.min(changes, refusedChanges) / 2);
    if (largestValueBytes > MIN_VALUE_BYTES) {
      valueBytes = Math.max(MIN_VALUE_BYTES, Math.min(valueBytes, largestValueBytes) / 2);
    }
    txnBytes = Math.max(2 * MIN_VALUE_BYTES, Math.min(txnBytes, refusedBytes) / 2);
  }
}
