package org.ploverspindle.progress;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressLogRecord;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SnapshotRecord;
import org.ploverspindle.state.StateStore.Entry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What earlier leaders recorded, put together for a new one: each job's checkpoints, and over them
 * the records of the log that are newer.
 */
public final class RecordedProgress {
  private static final Logger LOG = LoggerFactory.getLogger(RecordedProgress.class);

  private final Replica replica;
  private final ProgressWriter writer;
  private final Map<String, List<ProgressLogRecord>> logByJob = new HashMap<>();
  private boolean logDamaged;

  /** A job's tasks as they were recorded last. */
  public record State(BitSet done, Map<Integer, SnapshotRecord.RecordedPlacement> live) {}

  public RecordedProgress(Replica replica, ProgressWriter writer) {
    this.replica = replica;
    this.writer = writer;
    List<ProgressLogRecord> records = new ArrayList<>();
    for (Entry e : replica.withPrefix(Keys.PROGRESS_LOG).values()) {
      Optional<ProgressLogRecord> record = ProgressLogRecord.decode(e.value());
      if (record.isPresent() && Keys.progressLog(record.get().sequence()).equals(e.key())) {
        writer.loadRecord(e, record.get().sequence());
        records.add(record.get());
      } else {
        LOG.error("the record {} can't be read: nothing starts until every lease is over", e.key());
        writer.loadUnreadable(e.key());
        logDamaged = true;
      }
    }
    records.sort(Comparator.comparingLong(ProgressLogRecord::sequence));
    for (ProgressLogRecord record : records) {
      record.deltas().stream()
          .map(ProgressLogRecord.Delta::uid)
          .distinct()
          .forEach(uid -> logByJob.computeIfAbsent(uid, u -> new ArrayList<>()).add(record));
    }
  }

  /** A record of the log is lost: tasks may be where nothing says that they are. */
  public boolean logDamaged() {
    return logDamaged;
  }

  /** Does any record speak of the job's tasks? */
  public boolean speaksOf(String uid) {
    return logByJob.containsKey(uid) || !replica.withPrefix(Keys.snapshotsOf(uid)).isEmpty();
  }

  /** The job's progress; the job is blocked if a checkpoint of it can't be read. */
  public State of(Job job) {
    State state = new State(new BitSet(), new TreeMap<>());
    long[] upTo = new long[job.shardCount()];
    for (Entry e : replica.withPrefix(Keys.snapshotsOf(job.uid())).values()) {
      Optional<SnapshotRecord> record = SnapshotRecord.decode(e.value());
      int chunk = chunkOf(e.key());
      if (record.isEmpty() || chunk < 0 || chunk >= job.shardCount()) {
        LOG.error(
            "the record {} can't be read; its job is not run and it is left as it is", e.key());
        job.quarantine();
        continue;
      }
      writer.loadSnapshot(job, chunk, e.modRevision());
      upTo[chunk] = record.get().coveredUpTo();
      state.done.or(record.get().done());
      record.get().placements().forEach(l -> state.live.put(l.task(), l));
    }
    for (ProgressLogRecord record : logByJob.getOrDefault(job.uid(), List.of())) {
      for (ProgressLogRecord.Delta d : record.deltas()) {
        if (d.uid().equals(job.uid())) {
          writer.loadMention(job, record.sequence());
          apply(job, record.sequence(), d, upTo, state);
        }
      }
    }
    state.done.clear(job.spec().tasks(), Math.max(job.spec().tasks(), state.done.length()));
    writer.loadCompleted(job, state.done);
    writer.loadPlaced(job, state.live.keySet());
    return state;
  }

  private void apply(Job job, long n, ProgressLogRecord.Delta d, long[] upTo, State state) {
    BitSet newer = new BitSet();
    d.completed().stream()
        .filter(t -> newer(job, t, n, upTo))
        .forEach(
            t -> {
              newer.set(t);
              state.done.set(t);
              state.live.remove(t);
            });
    d.cleared().stream()
        .filter(t -> newer(job, t, n, upTo))
        .forEach(
            t -> {
              newer.set(t);
              state.live.remove(t);
            });
    for (SnapshotRecord.RecordedPlacement l : d.placements()) {
      if (newer(job, l.task(), n, upTo)) {
        newer.set(l.task());
        state.live.put(l.task(), l);
      }
    }
    if (!job.quarantined()) {
      writer.loadUncovered(job, newer, n);
    }
  }

  private static boolean newer(Job job, int task, long n, long[] upTo) {
    return task < job.spec().tasks() && n > upTo[job.shardOf(task)];
  }

  private static int chunkOf(String key) {
    try {
      return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}
