package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeMap;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressLogRecord;

/**
 * Tracks the records in the slots of the progress log, and which of them holds the latest status of
 * each task. A slot may be reused only if no task's latest status is lost with the record in it.
 */
final class ProgressLogSlots {
  private final LatestStatuses latestStatuses = new LatestStatuses();

  /**
   * The uids of the jobs that a record has statuses of, by the record's sequence number. Includes
   * records of which it is not known whether they are stored.
   */
  private final TreeMap<Long, Set<String>> jobsByRecord = new TreeMap<>();

  /** The mod revision of the key of each slot; 0 if the slot has no readable record. */
  private final long[] modRevisions = new long[ProgressLogRecord.SLOTS];

  /** The sequence number of the record in each slot; 0 if the slot has no readable record. */
  private final long[] storedSequences = new long[ProgressLogRecord.SLOTS];

  /**
   * Slots with an unreadable record. Such a record is kept, since later leaders must detect it too.
   */
  private final BitSet unreadable = new BitSet();

  private long nextSequence = 1;

  /** The sequence number of the next record to be written. */
  long nextSequence() {
    return nextSequence;
  }

  /**
   * Called when the sequence number may be in use. Records that are written from now on get higher
   * ones.
   */
  void reserve(long sequence) {
    nextSequence = Math.max(nextSequence, sequence + 1);
  }

  /** Called when the record is stored in its slot and the slot's key has this mod revision. */
  void markStored(long sequence, long modRevision) {
    modRevisions[ProgressLogRecord.slot(sequence)] = modRevision;
    storedSequences[ProgressLogRecord.slot(sequence)] = sequence;
    reserve(sequence);
  }

  /** Marks the slot with this key as one whose record is unreadable. */
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

  /** The mod revision of the key of this record's slot; 0 if the slot has no readable record. */
  long slotModRevision(long sequence) {
    return modRevisions[ProgressLogRecord.slot(sequence)];
  }

  /** The sequence number of the record that is now in this record's slot; 0 if none is readable. */
  long slotSequence(long sequence) {
    return storedSequences[ProgressLogRecord.slot(sequence)];
  }

  /**
   * Called when the record has statuses of the job. The record may or may not be stored, and
   * snapshots may cover the statuses.
   */
  void addMention(String uid, long sequence) {
    jobsByRecord.computeIfAbsent(sequence, key -> new HashSet<>()).add(uid);
  }

  /** Whether any record has statuses of the job. */
  boolean isMentioned(String uid) {
    return jobsByRecord.values().stream().anyMatch(uids -> uids.contains(uid));
  }

  /** Whether a record older than this one has statuses of the job. */
  boolean isMentionedBefore(String uid, long sequence) {
    return jobsByRecord.headMap(sequence).values().stream().anyMatch(uids -> uids.contains(uid));
  }

  /** Which record holds the latest status of each task. */
  LatestStatuses latestStatuses() {
    return latestStatuses;
  }

  /**
   * Called when the record has overwritten the one that was in its slot. The jobs in earlier
   * records of the slot are forgotten, and so are the latest statuses in the overwritten record if
   * their job is fully stopped.
   */
  void slotOverwritten(long sequence) {
    int slot = ProgressLogRecord.slot(sequence);
    jobsByRecord
        .headMap(sequence)
        .keySet()
        .removeIf(overwritten -> ProgressLogRecord.slot(overwritten) == slot);
    long overwritten = storedSequences[slot];
    if (overwritten < sequence) {
      latestStatuses.releaseFullyStopped(overwritten);
    }
  }
}
