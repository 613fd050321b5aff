package org.ploverspindle.progress;

import java.util.HashMap;
import java.util.Map;

/** Tracks which snapshots are stored, and which would be too large to be written. */
final class ShardSnapshots {
  /** Lower bound for the size of a placement in a snapshot. */
  private static final int MIN_PLACEMENT_BYTES = 16;

  /** How long no snapshot of a shard is tried after one did not fit. */
  private static final long TOO_LARGE_RETRY_MS = 1_000;

  private final Map<TaskShard, Long> modRevisions = new HashMap<>();
  private final Map<TaskShard, Long> tooLargeUntilMs = new HashMap<>();

  /** Sets the mod revision of the shard's snapshot; 0 if there is none. */
  void setModRevision(TaskShard shard, long modRevision) {
    if (modRevision == 0) {
      markRemoved(shard);
    } else {
      modRevisions.put(shard, modRevision);
    }
  }

  void markRemoved(TaskShard shard) {
    modRevisions.remove(shard);
  }

  /** The mod revision of the shard's snapshot; 0 if there is none. */
  long modRevision(TaskShard shard) {
    return modRevisions.getOrDefault(shard, 0L);
  }

  boolean exists(TaskShard shard) {
    return modRevision(shard) != 0;
  }

  /** Called when a snapshot of the shard did not fit into a value. */
  void markTooLarge(TaskShard shard, long nowMs) {
    tooLargeUntilMs.put(shard, nowMs + TOO_LARGE_RETRY_MS);
  }

  /**
   * Called when the shard's job is terminal, so that no snapshot of it will be written any more.
   */
  void jobTerminated(TaskShard shard) {
    tooLargeUntilMs.remove(shard);
  }

  /** Whether the shard's snapshot is known not to fit into a value of this size. */
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
