package org.ploverspindle.cluster;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Commands that are sent together, no more than an agent accepts in one message. What does not fit
 * goes with a later response.
 */
final class CommandBatch {
  /** The fencing token, and the frame around the list of commands. */
  private static final int ENVELOPE_BYTES = 40;

  private final List<WorkerCommand> commands = new ArrayList<>();
  private int batchBytes = ENVELOPE_BYTES;

  /** Adds the command; false if it does not fit. */
  boolean add(WorkerCommand command) {
    int commandBytes = HeartbeatCodec.size(command);
    if (batchBytes + commandBytes > HeartbeatCodec.MAX_COMMAND_BYTES) {
      return false;
    }
    batchBytes += commandBytes;
    commands.add(command);
    return true;
  }

  /** A live, unmodifiable view. */
  List<WorkerCommand> commands() {
    return Collections.unmodifiableList(commands);
  }
}
