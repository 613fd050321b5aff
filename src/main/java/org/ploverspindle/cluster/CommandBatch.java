package org.ploverspindle.cluster;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Commands that are sent to a worker in one message. Their size stays within {@link
 * HeartbeatCodec#MAX_COMMAND_BYTES}; commands that do not fit are left for a later message.
 */
final class CommandBatch {
  /** Estimated bytes, in JSON form, of the fencing token and the frame of the command list. */
  private static final int ENVELOPE_BYTES = 40;

  private final List<WorkerCommand> commands = new ArrayList<>();
  private int batchBytes = ENVELOPE_BYTES;

  /** Adds the command and returns true, or returns false if the message would get too large. */
  boolean add(WorkerCommand command) {
    int commandBytes = HeartbeatCodec.estimatedSizeBytes(command);
    if (batchBytes + commandBytes > HeartbeatCodec.MAX_COMMAND_BYTES) {
      return false;
    }
    batchBytes += commandBytes;
    commands.add(command);
    return true;
  }

  /** The commands added so far: a live, unmodifiable view. */
  List<WorkerCommand> commands() {
    return Collections.unmodifiableList(commands);
  }
}
