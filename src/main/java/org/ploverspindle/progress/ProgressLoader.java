package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.Set;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.state.StateStore.Entry;

/** Loads what was read from the state service into the writer's state. */
final class ProgressLoader {
  private final ProgressState state;

  ProgressLoader(ProgressState state) {
    this.state = state;
  }

  /** Registers a record of the log that was found in its slot. */
  void loadRecord(Entry entry, long sequence) {
    state.slots().markStored(sequence, entry.modRevision());
  }

  /** Registers that the record under this key of the log is unreadable. */
  void loadUnreadableRecord(String key) {
    state.slots().markUnreadable(key);
  }

  /** Registers a snapshot of the shard with this index. */
  void loadSnapshot(Job job, int index, long modRevision) {
    state.snapshots().setModRevision(new TaskShard(job, index), modRevision);
  }

  /** Registers that the log record has statuses of these tasks that no snapshot covers. */
  void loadUncoveredStatuses(Job job, BitSet tasks, long sequence) {
    state.slots().latestStatuses().statusRecorded(job, tasks, sequence);
  }

  /** Registers that the log record has statuses of the job, whether or not snapshots cover them. */
  void loadMention(Job job, long sequence) {
    state.slots().addMention(job.uid(), sequence);
  }

  void loadCompleted(Job job, BitSet tasks) {
    state.durableTasks().loadCompleted(job, tasks);
  }

  /** Registers the tasks that are on machines according to the records. */
  void loadPlaced(Job job, Set<Integer> tasks) {
    BitSet placed = new BitSet();
    tasks.forEach(placed::set);
    state.durableTasks().loadPlaced(job, placed);
  }
}
