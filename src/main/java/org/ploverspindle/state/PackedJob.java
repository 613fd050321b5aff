package org.ploverspindle.state;

/**
 * What is kept of an ended job, in the bits of an integer: 17 for its completed tasks, 2 for its
 * outcome, 1 for whether its record was read, 1 for whether it is a service, and 11 for the index
 * of the owner of its tasks. The value 0 stands for a job that is not known to have ended.
 */
final class PackedJob {
  /** The value of a job that is not known to have ended. */
  static final int NONE = 0;

  /** The number of owners that can be told apart. */
  static final int MAX_OWNERS = 1 << 11;

  private static final int MAX_TASKS = (1 << 17) - 1;
  private static final int OUTCOME_SHIFT = 17;
  private static final int OUTCOME_MASK = 3;
  private static final int RECORD_READ_BIT = 1 << 19;
  private static final int SERVICE_BIT = 1 << 20;
  private static final int OWNER_SHIFT = 21;

  private PackedJob() {}

  /** Packs a job whose record was not read yet. */
  static int ofOutcome(JobOutcome outcome, int completedTasks) {
    int tasks = Math.max(0, Math.min(MAX_TASKS, completedTasks));
    return tasks | (outcome.ordinal() + 1) << OUTCOME_SHIFT;
  }

  /** Returns the value with what the job's record tells. */
  static int withRecord(int packed, boolean isService, int owner) {
    return packed | RECORD_READ_BIT | (isService ? SERVICE_BIT : 0) | owner << OWNER_SHIFT;
  }

  /** Returns the outcome of a job that has ended. */
  static JobOutcome outcome(int packed) {
    return JobOutcome.values()[(packed >>> OUTCOME_SHIFT & OUTCOME_MASK) - 1];
  }

  static int completedTasks(int packed) {
    return packed & MAX_TASKS;
  }

  static boolean isRecordRead(int packed) {
    return (packed & RECORD_READ_BIT) != 0;
  }

  static boolean isService(int packed) {
    return (packed & SERVICE_BIT) != 0;
  }

  static int owner(int packed) {
    return packed >>> OWNER_SHIFT;
  }
}
