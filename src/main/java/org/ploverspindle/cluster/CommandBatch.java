package org.ploverspindle.cluster;

import java.util.ArrayList;
import java.util.List;

/**
 * Orders that go out together, no more than a worker takes at once. What does not fit is ordered
 * with a later answer.
 */
final class CommandBatch {
  /** Before the first order: the token and the frame around the list. */
  private static final int ENVELOPE_BYTES = 40;

  private final List<WorkerCommand> commands = new ArrayList<>();
  private int batchBytes = ENVELOPE_BYTES;

  /** Adds the order if it fits; false if it does not. */
  boolean add(WorkerCommand command) {
    int commandBytes = HeartbeatCodec.size(command);
    if (batchBytes + commandBytes > HeartbeatCodec.MAX_COMMAND_BYTES) {
      return false;
    }
    batchBytes += commandBytes;
    commands.add(command);
    return true;
  }

  List<WorkerCommand> commands() {
    return commands;
  }
}
