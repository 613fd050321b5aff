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
 * What stands in the slots of the progress log, and in which record each task's newest statement
 * is. A slot may be used again only when no newest statement rests on the record that stands there.
 */
final class ProgressLogSlots {
  /** By the log's record: chunks with tasks whose newest statement is there, and which. */
  private final TreeMap<Long, Map<TaskShard, BitSet>> latestStatus = new TreeMap<>();

  /** The records in {@link #latestStatus} that speak of the chunk. */
  private final Map<TaskShard, TreeSet<Long>> recordsByShard = new HashMap<>();

  /** By the log's record: the jobs that it speaks of, or would if its unanswered write stood. */
  private final TreeMap<Long, Set<String>> jobsByRecord = new TreeMap<>();

  /** The version of each slot's key, or 0. */
  private final long[] modRevisions = new long[ProgressLogRecord.SLOTS];

  /** The number of the record that stands in each slot, or 0. */
  private final long[] storedSequences = new long[ProgressLogRecord.SLOTS];

  /** Slots whose record can't be read: it stays, as a later leader must see it too. */
  private final BitSet unreadable = new BitSet();

  /** Record {@code n} stands in its slot. */
  void recordStored(long sequence, long modRevision) {
    modRevisions[ProgressLogRecord.slot(sequence)] = modRevision;
    storedSequences[ProgressLogRecord.slot(sequence)] = sequence;
  }

  /** What stands under this key of the log can't be read. */
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

  /** The version of the key of record {@code n}'s slot, or 0 if nothing stands there. */
  long modRevisionAt(long sequence) {
    return modRevisions[ProgressLogRecord.slot(sequence)];
  }

  /** The number of the record that stands in record {@code n}'s slot, or 0. */
  long storedSequenceAt(long sequence) {
    return storedSequences[ProgressLogRecord.slot(sequence)];
  }

  /** Record {@code n} speaks of the job, be it covered or not, or would if it stood. */
  void addMention(String uid, long sequence) {
    jobsByRecord.computeIfAbsent(sequence, x -> new HashSet<>()).add(uid);
  }

  boolean isMentioned(String uid) {
    return jobsByRecord.values().stream().anyMatch(m -> m.contains(uid));
  }

  /** Does a record older than this one speak of the job? */
  boolean isMentionedBefore(String uid, long sequence) {
    return jobsByRecord.headMap(sequence).values().stream().anyMatch(m -> m.contains(uid));
  }

  /** The newest statements that rest on the record. */
  Map<TaskShard, BitSet> latestStatusIn(long sequence) {
    return latestStatus.getOrDefault(sequence, Map.of());
  }

  /** The newest statements that rest on records up to this one, by record. */
  SortedMap<Long, Map<TaskShard, BitSet>> latestStatusUpTo(long sequence) {
    return Collections.unmodifiableSortedMap(latestStatus.headMap(sequence, true));
  }

  /** A job with a newest statement in the log. */
  Optional<Job> findJob(String uid) {
    return recordsByShard.keySet().stream()
        .map(TaskShard::job)
        .filter(j -> j.uid().equals(uid))
        .findFirst();
  }

  /** The tasks' statements move on to record {@code n}, unless newer ones stand. */
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

  /** No record up to {@code upTo} is needed for the chunk any more. */
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

  /** Record {@code n} comes to stand in its slot: what stood there says nothing any more. */
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
