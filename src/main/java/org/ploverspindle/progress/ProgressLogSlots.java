package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressLogRecord;

/**
 * The records in the slots of the progress log, and which of them holds the latest status of each
 * task. A slot may be reused only when its record holds no task's latest status.
 */
final class ProgressLogSlots {
  /** By sequence number: the tasks whose latest status is in that record, by shard. */
  private final TreeMap<Long, Map<TaskShard, BitSet>> latestStatus = new TreeMap<>();

  /** The sequence numbers in {@link #latestStatus} under which the shard is found. */
  private final Map<TaskShard, TreeSet<Long>> recordsByShard = new HashMap<>();

  /** By sequence number: the jobs in that record, also if it is not known whether it is stored. */
  private final TreeMap<Long, Set<String>> jobsByRecord = new TreeMap<>();

  /** The mod revision of each slot's key; 0: the slot is empty. */
  private final long[] modRevisions = new long[ProgressLogRecord.SLOTS];

  /** The sequence number of the record in each slot; 0: none. */
  private final long[] storedSequences = new long[ProgressLogRecord.SLOTS];

  /** Slots with an unreadable record: it is kept, since a later leader must notice it too. */
  private final BitSet unreadable = new BitSet();

  private long nextSequence = 1;

  /** The sequence number of the next record to be written. */
  long nextSequence() {
    return nextSequence;
  }

  /** The sequence number may be in use: records that are written from now on get higher ones. */
  void reserve(long sequence) {
    nextSequence = Math.max(nextSequence, sequence + 1);
  }

  /** The record is stored in its slot, whose key has this mod revision. */
  void recordStored(long sequence, long modRevision) {
    modRevisions[ProgressLogRecord.slot(sequence)] = modRevision;
    storedSequences[ProgressLogRecord.slot(sequence)] = sequence;
    reserve(sequence);
  }

  /** The record under this key of the log is unreadable. */
  void markUnreadable(String key) {
    for (int slot = 0; slot < ProgressLogRecord.SLOTS; slot++) {
      if (Keys.progressLog(slot).equals(key)) {
        unreadable.set(slot);
      }
    }
  }

  boolean isUnreadable(long sequence) {
    return unreadable.get(ProgressLogRecord.slot(sequence));
  }

  /** The mod revision of the key of the record's slot; 0: the slot is empty. */
  long modRevisionAt(long sequence) {
    return modRevisions[ProgressLogRecord.slot(sequence)];
  }

  /** The sequence number of the record that is stored in this record's slot; 0: none. */
  long storedSequenceAt(long sequence) {
    return storedSequences[ProgressLogRecord.slot(sequence)];
  }

  /** The record, which may or may not be stored, has statuses of the job, covered or not. */
  void addMention(String uid, long sequence) {
    jobsByRecord.computeIfAbsent(sequence, x -> new HashSet<>()).add(uid);
  }

  /** Whether any record has statuses of the job. */
  boolean isMentioned(String uid) {
    return jobsByRecord.values().stream().anyMatch(m -> m.contains(uid));
  }

  /** Whether a record older than this one has statuses of the job. */
  boolean isMentionedBefore(String uid, long sequence) {
    return jobsByRecord.headMap(sequence).values().stream().anyMatch(m -> m.contains(uid));
  }

  /** The tasks whose latest status is in this record. */
  Map<TaskShard, BitSet> latestStatusIn(long sequence) {
    return Collections.unmodifiableMap(latestStatus.getOrDefault(sequence, Map.of()));
  }

  /** The tasks whose latest status is in a record up to this one, by record. */
  SortedMap<Long, Map<TaskShard, BitSet>> latestStatusUpTo(long sequence) {
    return Collections.unmodifiableSortedMap(latestStatus.headMap(sequence, true));
  }

  /** A job with a task whose latest status is in the log. */
  Optional<Job> findJob(String uid) {
    return recordsByShard.keySet().stream()
        .map(TaskShard::job)
        .filter(j -> j.uid().equals(uid))
        .findFirst();
  }

  /** The record has these tasks' latest status, except of tasks that newer records have. */
  void statusRecorded(TaskShard shard, BitSet tasks, long sequence) {
    BitSet newest = (BitSet) tasks.clone();
    for (Long otherSequence : List.copyOf(recordsByShard.getOrDefault(shard, new TreeSet<>()))) {
      BitSet otherTasks = latestStatus.get(otherSequence).get(shard);
      if (otherSequence > sequence) {
        newest.andNot(otherTasks);
      } else if (otherSequence < sequence) {
        otherTasks.andNot(tasks);
        if (otherTasks.isEmpty()) {
          release(shard, otherSequence);
        }
      }
    }
    if (!newest.isEmpty()) {
      latestStatus
          .computeIfAbsent(sequence, x -> new LinkedHashMap<>())
          .computeIfAbsent(shard, x -> new BitSet())
          .or(newest);
      recordsByShard.computeIfAbsent(shard, x -> new TreeSet<>()).add(sequence);
    }
  }

  /** No record up to {@code lastSequence} is needed for the shard any more. */
  void releaseUpTo(TaskShard shard, long lastSequence) {
    for (Long sequence :
        List.copyOf(
            recordsByShard.getOrDefault(shard, new TreeSet<>()).headSet(lastSequence, true))) {
      release(shard, sequence);
    }
  }

  private void release(TaskShard shard, long sequence) {
    Map<TaskShard, BitSet> shards = latestStatus.get(sequence);
    shards.remove(shard);
    if (shards.isEmpty()) {
      latestStatus.remove(sequence);
    }
    TreeSet<Long> records = recordsByShard.get(shard);
    records.remove(sequence);
    if (records.isEmpty()) {
      recordsByShard.remove(shard);
    }
  }

  /** The record overwrites the one that was in its slot. */
  void slotOverwritten(long sequence) {
    int slot = ProgressLogRecord.slot(sequence);
    jobsByRecord
        .headMap(sequence)
        .keySet()
        .removeIf(overwritten -> ProgressLogRecord.slot(overwritten) == slot);
    long overwritten = storedSequences[slot];
    if (overwritten < sequence) {
      List.copyOf(latestStatusIn(overwritten).keySet()).stream()
          .filter(c -> c.job().isFullyStopped())
          .forEach(c -> release(c, overwritten));
    }
  }
}
