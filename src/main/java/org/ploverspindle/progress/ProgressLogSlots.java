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
  private final TreeMap<Long, Map<TaskShard, BitSet>> resting = new TreeMap<>();

  /** The records in {@link #resting} that speak of the chunk. */
  private final Map<TaskShard, TreeSet<Long>> recordsOf = new HashMap<>();

  /** By the log's record: the jobs that it speaks of, or would if its unanswered write stood. */
  private final TreeMap<Long, Set<String>> mentions = new TreeMap<>();

  /** The version of each slot's key, or 0. */
  private final long[] stamps = new long[ProgressLogRecord.SLOTS];

  /** The number of the record that stands in each slot, or 0. */
  private final long[] standing = new long[ProgressLogRecord.SLOTS];

  /** Slots whose record can't be read: it stays, as a later leader must see it too. */
  private final BitSet damaged = new BitSet();

  /** Record {@code n} stands in its slot. */
  void stands(long n, long stamp) {
    stamps[ProgressLogRecord.slot(n)] = stamp;
    standing[ProgressLogRecord.slot(n)] = n;
  }

  /** What stands under this key of the log can't be read. */
  void markDamaged(String key) {
    for (int slot = 0; slot < ProgressLogRecord.SLOTS; slot++) {
      if (Keys.progressLog(slot).equals(key)) {
        damaged.set(slot);
      }
    }
  }

  boolean isDamaged(long n) {
    return damaged.get(ProgressLogRecord.slot(n));
  }

  /** The version of the key of record {@code n}'s slot, or 0 if nothing stands there. */
  long stampAt(long n) {
    return stamps[ProgressLogRecord.slot(n)];
  }

  /** The number of the record that stands in record {@code n}'s slot, or 0. */
  long standingAt(long n) {
    return standing[ProgressLogRecord.slot(n)];
  }

  /** Record {@code n} speaks of the job, be it covered or not, or would if it stood. */
  void mention(String uid, long n) {
    mentions.computeIfAbsent(n, x -> new HashSet<>()).add(uid);
  }

  boolean isMentioned(String uid) {
    return mentions.values().stream().anyMatch(m -> m.contains(uid));
  }

  /** Does a record older than this one speak of the job? */
  boolean isMentionedBefore(String uid, long record) {
    return mentions.headMap(record).values().stream().anyMatch(m -> m.contains(uid));
  }

  /** The newest statements that rest on the record. */
  Map<TaskShard, BitSet> restingOn(long record) {
    return resting.getOrDefault(record, Map.of());
  }

  /** The newest statements that rest on records up to this one, by record. */
  SortedMap<Long, Map<TaskShard, BitSet>> restingUpTo(long record) {
    return Collections.unmodifiableSortedMap(resting.headMap(record, true));
  }

  /** A job with a newest statement in the log. */
  Optional<Job> job(String uid) {
    return recordsOf.keySet().stream()
        .map(TaskShard::job)
        .filter(j -> j.uid().equals(uid))
        .findFirst();
  }

  /** The tasks' statements move on to record {@code n}, unless newer ones stand. */
  void spoken(TaskShard c, BitSet tasks, long n) {
    BitSet newest = (BitSet) tasks.clone();
    for (Long at : List.copyOf(recordsOf.getOrDefault(c, new TreeSet<>()))) {
      BitSet there = resting.get(at).get(c);
      if (at > n) {
        newest.andNot(there);
      } else if (at < n) {
        there.andNot(tasks);
        if (there.isEmpty()) {
          drop(c, at);
        }
      }
    }
    if (!newest.isEmpty()) {
      resting
          .computeIfAbsent(n, x -> new LinkedHashMap<>())
          .computeIfAbsent(c, x -> new BitSet())
          .or(newest);
      recordsOf.computeIfAbsent(c, x -> new TreeSet<>()).add(n);
    }
  }

  /** No record up to {@code upTo} is needed for the chunk any more. */
  void covered(TaskShard c, long upTo) {
    for (Long n : List.copyOf(recordsOf.getOrDefault(c, new TreeSet<>()).headSet(upTo, true))) {
      drop(c, n);
    }
  }

  private void drop(TaskShard c, long n) {
    Map<TaskShard, BitSet> there = resting.get(n);
    there.remove(c);
    if (there.isEmpty()) {
      resting.remove(n);
    }
    TreeSet<Long> on = recordsOf.get(c);
    on.remove(n);
    if (on.isEmpty()) {
      recordsOf.remove(c);
    }
  }

  /** Record {@code n} comes to stand in its slot: what stood there says nothing any more. */
  void replaced(long n) {
    int slot = ProgressLogRecord.slot(n);
    mentions.headMap(n).keySet().removeIf(old -> ProgressLogRecord.slot(old) == slot);
    long old = standing[slot];
    if (old < n) {
      List.copyOf(restingOn(old).keySet()).stream()
          .filter(c -> c.job().isFullyStopped())
          .forEach(c -> drop(c, old));
    }
  }
}
