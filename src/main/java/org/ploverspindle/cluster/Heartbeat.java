package org.ploverspindle.cluster;

import java.util.List;
import java.util.OptionalDouble;

/**
 * A heartbeat of the worker on a machine. It lists all attempts on the machine at one moment.
 *
 * @param address where the worker receives direct commands; may be empty
 * @param workerEpoch the worker epoch: it starts at 1 and grows each time the worker lease expires,
 *     which ends all tasks on the machine
 * @param sequence a number that grows with each heartbeat and each response to direct commands
 * @param fencingToken the highest fencing token that the worker has received
 * @param spotNoticeS seconds until the cloud reclaims the machine; empty without a spot notice
 */
public record Heartbeat(
    String host,
    String address,
    String type,
    String zone,
    boolean spot,
    long workerEpoch,
    long sequence,
    long fencingToken,
    OptionalDouble spotNoticeS,
    List<TaskStatus> tasks) {

  /** The state of an attempt on its machine. */
  public enum Phase {
    /** The image is being fetched, or the phase is one that this version does not know. */
    FETCHING,
    RUNNING,
    CHECKPOINTING,
    EXITED
  }

  /** Why an attempt ended or was not started. */
  public enum ExitReason {
    /** The attempt has not ended, or ended for a reason that this version does not know. */
    NONE,
    DONE,
    STOPPED,
    ERROR,
    /** The attempt was not started because the machine had too few free resources. */
    NO_ROOM,
    /** The attempt was not started because another attempt of the task was on the machine. */
    BUSY,
    /** The attempt was not started because the worker did not know the job. */
    NO_SUCH
  }

  /**
   * The state of one attempt on the machine.
   *
   * @param checkpointed whether the attempt stored a checkpoint when it was stopped
   */
  public record TaskStatus(
      String uid,
      int task,
      long attempt,
      Phase phase,
      ExitReason exitReason,
      boolean checkpointed) {}

  /** Whether this heartbeat was sent after the one with the given epoch and sequence number. */
  public boolean isNewerThan(long otherWorkerEpoch, long otherSequence) {
    return workerEpoch != otherWorkerEpoch
        ? workerEpoch > otherWorkerEpoch
        : sequence > otherSequence;
  }
}
