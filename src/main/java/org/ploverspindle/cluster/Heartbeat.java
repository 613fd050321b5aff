package org.ploverspindle.cluster;

import java.util.List;
import java.util.OptionalDouble;

/** A worker's report: everything on its machine at one moment. */
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

  /** The state of an attempt on the machine. */
  public enum Phase {
    FETCHING,
    RUNNING,
    CHECKPOINTING,
    EXITED
  }

  /** Why an attempt ended, or why it did not start. */
  public enum ExitReason {
    NONE,
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    NO_SUCH
  }

  /** An attempt of a task on the machine. */
  public record TaskStatus(
      String uid,
      int task,
      long attempt,
      Phase phase,
      ExitReason exitReason,
      boolean checkpointed) {}

  /** Larger is newer, over all sessions. */
  public boolean isNewerThan(long otherAgentEpoch, long otherSequence) {
    return agentEpoch != otherAgentEpoch ? agentEpoch > otherAgentEpoch : sequence > otherSequence;
  }
}
