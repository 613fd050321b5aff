package org.ploverspindle.progress;

import org.ploverspindle.state.ProgressLogRecord;

/** Limits on the size of a transaction. They are lowered when a transaction is refused. */
final class WriteLimits {
  /** Limit on the estimated size of a transaction until a transaction is refused. */
  private static final int INITIAL_TRANSACTION_LIMIT_BYTES = 56 * 1024;

  /**
   * The largest value that is written even if the state service accepts larger ones, so that
   * several records fit into a transaction.
   */
  private static final int VALUE_LIMIT_CEILING_BYTES = 16 * 1024;

  /** The lowest limit on the size of a value. A log record with a single task still fits. */
  private static final int VALUE_LIMIT_FLOOR_BYTES = 512;

  /** How much larger a log record's value may be than the size that its builder counts. */
  private static final int RECORD_MARGIN_BYTES = 100;

  /** Typical size of a task in a log record. If tasks take more, a record holds fewer of them. */
  private static final int TYPICAL_TASK_BYTES = 16;

  /**
   * The state service limits the conditions of a transaction to this multiple of the changes that
   * it allows.
   */
  private static final int ALLOWED_CONDITIONS_PER_CHANGE = 4;

  /** The most conditions that {@link TransactionBuilder} adds for one change. */
  private static final int MAX_CONDITIONS_ADDED_PER_CHANGE = 2;

  private int maxChanges;
  private int maxValueBytes;
  private int maxTransactionBytes = INITIAL_TRANSACTION_LIMIT_BYTES;

  WriteLimits(int maxChanges, int maxValueBytes) {
    this.maxChanges = maxChanges;
    this.maxValueBytes = Math.min(maxValueBytes, VALUE_LIMIT_CEILING_BYTES);
  }

  int maxChanges() {
    return maxChanges;
  }

  int maxValueBytes() {
    return maxValueBytes;
  }

  int maxRecordBytes() {
    return maxValueBytes - RECORD_MARGIN_BYTES;
  }

  /** The number of a job's tasks that is tried first when a log record is filled. */
  int initialTasksPerRecord() {
    return Math.max(
        ProgressLogRecord.Builder.guaranteedTaskCapacity(maxValueBytes),
        maxValueBytes / TYPICAL_TASK_BYTES);
  }

  /** Whether a transaction with this many conditions has room for those of one more change. */
  boolean hasRoomForConditions(int conditions) {
    return conditions + MAX_CONDITIONS_ADDED_PER_CHANGE
        <= maxChanges * ALLOWED_CONDITIONS_PER_CHANGE;
  }

  /** Whether a transaction of this size has room for a value of any permitted size. */
  boolean hasRoomForValue(int bytes) {
    return bytes < maxTransactionBytes - maxValueBytes;
  }

  /**
   * Lowers the limits below a transaction of this size that was refused. They are not raised again
   * during the term, since the state service does not announce when it accepts more.
   */
  void lowerBelow(int refusedChanges, int refusedBytes, int largestValueBytes) {
    maxChanges = Math.max(1, Math.min(maxChanges, refusedChanges) / 2);
    if (largestValueBytes > VALUE_LIMIT_FLOOR_BYTES) {
      maxValueBytes =
          Math.max(VALUE_LIMIT_FLOOR_BYTES, Math.min(maxValueBytes, largestValueBytes) / 2);
    }
    maxTransactionBytes =
        Math.max(2 * VALUE_LIMIT_FLOOR_BYTES, Math.min(maxTransactionBytes, refusedBytes) / 2);
  }
}
