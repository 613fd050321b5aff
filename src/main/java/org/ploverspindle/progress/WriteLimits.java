package org.ploverspindle.progress;

import org.ploverspindle.state.ProgressLogRecord;

/** Limits on the size of a transaction. They are lowered when a transaction is refused. */
final class WriteLimits {
  private static final int MAX_TXN_BYTES = 56 * 1024;

  /**
   * The largest value that is written even if the state service accepts larger ones, so that
   * several records fit into a transaction.
   */
  private static final int MAX_VALUE_BYTES = 16 * 1024;

  /** The lowest limit on the size of a value. A log record with a single task still fits. */
  private static final int MIN_VALUE_BYTES = 512;

  /** How much larger a log record's value may be than the size that its builder counts. */
  private static final int RECORD_MARGIN_BYTES = 100;

  /** Typical size of a task in a log record. A record that gets too large holds fewer tasks. */
  private static final int TYPICAL_TASK_BYTES = 16;

  /**
   * The state service limits the conditions of a transaction to this multiple of the changes that
   * it allows.
   */
  private static final int CONDITIONS_PER_CHANGE = 4;

  /** The most conditions that {@link TransactionBuilder} adds for one change. */
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

  /** The number of tasks of a job that are first tried to be put into a log record. */
  int tasksInRecord() {
    return Math.max(
        ProgressLogRecord.Builder.tasksThatFit(valueBytes), valueBytes / TYPICAL_TASK_BYTES);
  }

  /** Whether a transaction with this many conditions has room for those of one more change. */
  boolean roomForConditions(int conditions) {
    return conditions + MAX_CONDITIONS_OF_A_CHANGE <= changes * CONDITIONS_PER_CHANGE;
  }

  /** Whether a transaction of this size has room for a value of any permitted size. */
  boolean roomForValue(int bytes) {
    return bytes < txnBytes - valueBytes;
  }

  /**
   * Lowers the limits below a transaction of this size that was refused. They are not raised again
   * during the term, since the state service does not announce when it accepts more.
   */
  void refused(int refusedChanges, int refusedBytes, int largestValueBytes) {
    changes = Math.max(1, Math.min(changes, refusedChanges) / 2);
    if (largestValueBytes > MIN_VALUE_BYTES) {
      valueBytes = Math.max(MIN_VALUE_BYTES, Math.min(valueBytes, largestValueBytes) / 2);
    }
    txnBytes = Math.max(2 * MIN_VALUE_BYTES, Math.min(txnBytes, refusedBytes) / 2);
  }
}
