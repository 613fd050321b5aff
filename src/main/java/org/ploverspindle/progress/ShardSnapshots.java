package org.ploverspindle.progress;

import java.util.HashMap;
import java.util.Map;

/** Which checkpoints stand, and which would be too large to be written. */
final class ShardSnapshots {
  /** The least that a placement takes in a checkpoint. */
  private static final int LEAST_LIVE_BYTES = 16;

  /** A chunk whose checkpoint does not fit is not tried again before. */
  private static final long LARGE_FOR_MS = 1_000;

  private final Map<TaskShard, Long> stamps = new HashMap<>();
  private final Map<TaskShard, Long> largeUntilMs = new HashMap<>();

  /** The chunk's checkpoint stands with this version; 0: none does. */
  void stands(TaskShard c, long stamp) {
    stamps.put(c, stamp);
  }

  void removed(TaskShard c) {
    stamps.remove(c);
  }

  /** The version of the chunk's checkpoint, or 0. */
  long stamp(TaskShard c) {
    return stamps.getOrDefault(c, 0L);
  }

  boolean exists(TaskShard c) {
    return stamp(c) != 0;
  }

  /** Its checkpoint did not fit into a value. */
  void tooLarge(TaskShard c, long nowMs) {
    largeUntilMs.put(c, nowMs + LARGE_FOR_MS);
  }

  /** No checkpoint of it will be written any more. */
  void over(TaskShard c) {
    largeUntilMs.remove(c);
  }

  /** Does its checkpoint not fit into a value, as far as is known? */
  boolean isLarge(TaskShard c, int valueBytes, long nowMs) {
    if (largeUntilMs.getOrDefault(c, Long.MIN_VALUE) > nowMs) {
      return true;
    }
    if (c.job().shardSize() * LEAST_LIVE_BYTES <= valueBytes) {
      return false;
    }
    int live = 0;
    for (int t = c.firstTask(); t < c.endTask(); t++) {
      live += c.job().activePlacement(t) == null ? 0 : 1;
    }
    return live * LEAST_LIVE_BYTES > valueBytes;
  }
}
