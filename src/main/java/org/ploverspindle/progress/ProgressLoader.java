package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.Set;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.state.StateStore.Entry;

/** Loads records that were found in the state service into the writer's state. */
final class ProgressLoader {
  private final ProgressState state;

  ProgressLoader(ProgressState state) {
    this.state = state;
  }

  /** A record of the log was found in its slot. */
  void loadRecord(Entry entry, long sequence) {
    state.slots().recordStored(sequence, entry.modRevision());
  }

  /** The record under this key of the log is unreadable. */
  void loadUnreadable(String key) {
    state.slots().markUnreadable(key);
  }

  /** A snapshot of the shard with this index was found. */
  void loadSnapshot(Job job, int index, long modRevision) {
    state.snapshots().stored(new TaskShard(job, index), modRevision);
  }

  /** The log record holds the status of these tasks, and no snapshot covers it. */
  void loadUncovered(Job job, BitSet tasks, long sequence) {
    TaskShard.of(job, tasks)
        .forEach((shard, some) -> state.slots().statusRecorded(shard, some, sequence));
  }

  /** The log record mentions the job, be the record covered by snapshots or not. */
  void loadMention(Job job, long sequence) {
    state.slots().addMention(job.uid(), sequence);
  }

  void loadCompleted(Job job, BitSet tasks) {
    state.durable().loadCompleted(job, tasks);
  }

  /** These tasks are on machines according to the records. */
  void loadPlaced(Job job, Set<Integer> tasks) {
    BitSet placed = new BitSet();
    tasks.forEach(placed::set);
    state.durable().loadPlaced(job, placed);
  }
}
