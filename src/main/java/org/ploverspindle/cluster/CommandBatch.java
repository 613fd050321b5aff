package org.ploverspindle.cluster;

import java.util.ArrayList;
import java.util.List;

/**
 * Orders that go out together, no more than a worker takes at once. What does not fit is ordered
 * with a later answer.
 */
final class CommandBatch {
  /** Before the first order: the token and the frame around the list. */
  private static final int FRAME_BYTES = 40;

  private final List<WorkerCommand> commands = new ArrayList<>();
  private int bytes = FRAME_BYTES;

  /** Adds the order if it fits; false if it does not. */
  boolean add(WorkerCommand order) {
    int size = HeartbeatCodec.size(order);
    if (bytes + size > HeartbeatCodec.MAX_ORDER_BYTES) {
      return false;
    }
    bytes += size;
    commands.add(order);
    return true;
  }

  List<WorkerCommand> commands() {
    return commands;
  }
}
