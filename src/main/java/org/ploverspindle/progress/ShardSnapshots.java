package org.ploverspindle.progress;

import java.util.HashMap;
import java.util.Map;

/** Which checkpoints stand, and which would be too large to be written. */
final class ShardSnapshots {
  /** The least that a placement takes in a checkpoint. */
  private static final int MIN_PLACEMENT_BYTES = 16;

  /** A chunk whose checkpoint does not fit is not tried again before. */
  private static final long RETRY_AFTER_MS = 1_000;

  private final Map<TaskShard, Long> modRevisions = new HashMap<>();
  private final Map<TaskShard, Long> tooLargeUntilMs = new HashMap<>();

  /** The chunk's checkpoint stands with this version; 0: none does. */
  void stored(TaskShard shard, long modRevision) {
    modRevisions.put(shard, modRevision);
  }

  void removed(TaskShard shard) {
    modRevisions.remove(shard);
  }

  /** The version of the chunk's checkpoint, or 0. */
  long modRevision(TaskShard shard) {
    return modRevisions.getOrDefault(shard, 0L);
  }

  boolean exists(TaskShard shard) {
    return modRevision(shard) != 0;
  }

  /** Its checkpoint did not fit into a value. */
  void markTooLarge(TaskShard shard, long nowMs) {
    tooLargeUntilMs.put(shard, nowMs + RETRY_AFTER_MS);
  }

  /** No checkpoint of it will be written any more. */
  void jobTerminated(TaskShard shard) {
    tooLargeUntilMs.remove(shard);
  }

  /** Does its checkpoint not fit into a value, as far as is known? */
  boolean isTooLarge(TaskShard shard, int valueBytes, long nowMs) {
    if (tooLargeUntilMs.getOrDefault(shard, Long.MIN_VALUE) > nowMs) {
      return true;
    }
    if (shard.job().shardSize() * MIN_PLACEMENT_BYTES <= valueBytes) {
      return false;
    }
    int placements = 0;
    for (int task = shard.firstTask(); task < shard.endTask(); task++) {
      placements += shard.job().activePlacement(task) == null ? 0 : 1;
    }
    return placements * MIN_PLACEMENT_BYTES > valueBytes;
  }
}
