package org.ploverspindle.cluster;

import java.util.List;
import java.util.OptionalDouble;

/**
 * A heartbeat of a machine's agent: all attempts on the machine at one moment.
 *
 * @param address where the agent receives direct commands; may be empty
 * @param agentEpoch starts at 1 and grows each time the agent's lease expires, when all tasks on
 *     the machine end
 * @param sequence grows with each heartbeat and with each response to direct commands
 * @param fencingToken the highest token that the agent has received
 * @param spotNoticeS seconds until the cloud takes the machine back, if it has announced that
 */
public record Heartbeat(
    String host,
    String address,
    String type,
    String zone,
    boolean spot,
    long agentEpoch,
    long sequence,
    long fencingToken,
    OptionalDouble spotNoticeS,
    List<TaskStatus> tasks) {

  /** The state of an attempt on its machine. */
  public enum Phase {
    /** Its image is being fetched, or it is in a state that this version does not know. */
    FETCHING,
    RUNNING,
    CHECKPOINTING,
    EXITED
  }

  /** Why an attempt ended, or why it was not started. */
  public enum ExitReason {
    /** It has not ended, or for a reason that this version does not know. */
    NONE,
    DONE,
    STOPPED,
    ERROR,
    /** Not started: the machine's free resources did not suffice. */
    NO_ROOM,
    /** Not started: another attempt of the task was on the machine. */
    BUSY,
    /** Not started: the agent did not know the job. */
    NO_SUCH
  }

  /**
   * An attempt of a task on the machine.
   *
   * @param checkpointed whether its progress was stored when it was stopped
   */
  public record TaskStatus(
      String uid,
      int task,
      long attempt,
      Phase phase,
      ExitReason exitReason,
      boolean checkpointed) {}

  /** Whether it was sent after the heartbeat with this agent epoch and sequence number. */
  public boolean isNewerThan(long otherAgentEpoch, long otherSequence) {
    return agentEpoch != otherAgentEpoch ? agentEpoch > otherAgentEpoch : sequence > otherSequence;
  }
}
