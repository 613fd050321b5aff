package org.ploverspindle.progress;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressLogRecord;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SnapshotRecord;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.TaskRanges;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the progress that earlier leaders recorded and merges it for a new leader: the snapshots of
 * each job, and on top of them the log records that no snapshot covers. Also loads the writer's
 * view of the records.
 */
public final class RecordedProgress {
  private static final Logger LOG = LoggerFactory.getLogger(RecordedProgress.class);

  private final Replica replica;
  private final ProgressLoader loader;
  private final Map<String, List<LoggedDelta>> deltasByJob = new HashMap<>();
  private boolean hasUnreadableLogRecord;

  /** The statuses of a job's tasks in the log record with this sequence number. */
  private record LoggedDelta(long sequence, ProgressLogRecord.Delta delta) {}

  /**
   * The latest recorded statuses of a job's tasks.
   *
   * @param completed the tasks that have completed
   * @param placements the recorded placements, by task
   */
  public record RecordedStatuses(
      BitSet completed, Map<Integer, SnapshotRecord.RecordedPlacement> placements) {}

  /** Reads the whole log from the replica. */
  public RecordedProgress(Replica replica, ProgressWriter writer) {
    this.replica = replica;
    this.loader = writer.loader();
    List<ProgressLogRecord> records = readLog();
    records.sort(Comparator.comparingLong(ProgressLogRecord::sequence));
    for (ProgressLogRecord record : records) {
      for (ProgressLogRecord.Delta delta : record.deltas()) {
        deltasByJob
            .computeIfAbsent(delta.uid(), uid -> new ArrayList<>())
            .add(new LoggedDelta(record.sequence(), delta));
      }
    }
  }

  private List<ProgressLogRecord> readLog() {
    List<ProgressLogRecord> records = new ArrayList<>();
    for (Entry entry : replica.withPrefix(Keys.PROGRESS_LOG).values()) {
      Optional<ProgressLogRecord> record = ProgressLogRecord.decode(entry.value());
      if (record.isPresent() && Keys.progressLog(record.get().sequence()).equals(entry.key())) {
        loader.loadRecord(entry, record.get().sequence());
        records.add(record.get());
      } else {
        LOG.error(
            "progress log record unreadable, no task starts until all agent leases have expired:"
                + " key={}",
            entry.key());
        loader.loadUnreadableRecord(entry.key());
        hasUnreadableLogRecord = true;
      }
    }
    return records;
  }

  /**
   * Whether a record of the log is unreadable. Tasks may then be running whose placement is in no
   * readable record.
   */
  public boolean hasUnreadableLogRecord() {
    return hasUnreadableLogRecord;
  }

  /** Whether any record has statuses of the job's tasks. */
  public boolean hasRecords(String uid) {
    return deltasByJob.containsKey(uid) || !replica.withPrefix(Keys.snapshotsOf(uid)).isEmpty();
  }

  /** Returns the UIDs of the jobs that have snapshots. */
  public Set<String> jobsWithSnapshots() {
    Set<String> uids = new LinkedHashSet<>();
    for (String key : replica.withPrefix(Keys.SNAPSHOTS).keySet()) {
      int end = key.lastIndexOf('/');
      if (end > Keys.SNAPSHOTS.length()) {
        uids.add(key.substring(Keys.SNAPSHOTS.length(), end));
      }
    }
    return uids;
  }

  /**
   * Loads which snapshots of a finished job are stored, so that the writer can remove them. Their
   * contents are not read.
   */
  public void loadSnapshotsOfFinished(Job job) {
    for (Entry entry : replica.withPrefix(Keys.snapshotsOf(job.uid())).values()) {
      shardIndex(entry.key(), job)
          .ifPresent(index -> loader.loadSnapshot(job, index, entry.modRevision()));
    }
  }

  /** Returns the job's progress. Quarantines the job if one of its snapshots is unreadable. */
  public RecordedStatuses statusesOf(Job job) {
    RecordedStatuses statuses = new RecordedStatuses(new BitSet(), new TreeMap<>());
    long[] lastCoveredSequences = readSnapshots(job, statuses);
    for (LoggedDelta logged : deltasByJob.getOrDefault(job.uid(), List.of())) {
      loader.loadMention(job, logged.sequence());
      applyDelta(job, logged.sequence(), logged.delta(), lastCoveredSequences, statuses);
    }
    statuses.completed.clear(
        job.spec().tasks(), Math.max(job.spec().tasks(), statuses.completed.length()));
    loader.loadCompleted(job, statuses.completed);
    loader.loadPlaced(job, statuses.placements.keySet());
    return statuses;
  }

  /**
   * Adds the contents of the job's snapshots.
   *
   * @return for each shard the sequence number of the last log record that its snapshot covers; 0
   *     if it covers none
   */
  private long[] readSnapshots(Job job, RecordedStatuses statuses) {
    long[] lastCoveredSequences = new long[job.shardCount()];
    for (Entry entry : replica.withPrefix(Keys.snapshotsOf(job.uid())).values()) {
      Optional<SnapshotRecord> snapshot = SnapshotRecord.decode(entry.value());
      OptionalInt shard = shardIndex(entry.key(), job);
      if (snapshot.isEmpty() || shard.isEmpty()) {
        LOG.error(
            "snapshot unreadable, job quarantined and snapshot kept: key={} job={}",
            entry.key(),
            job.uid());
        job.quarantine();
        continue;
      }
      loader.loadSnapshot(job, shard.getAsInt(), entry.modRevision());
      lastCoveredSequences[shard.getAsInt()] = snapshot.get().lastCoveredSequence();
      statuses.completed.or(snapshot.get().completed());
      snapshot.get().placements().forEach(p -> statuses.placements.put(p.task(), p));
    }
    return lastCoveredSequences;
  }

  private void applyDelta(
      Job job,
      long sequence,
      ProgressLogRecord.Delta delta,
      long[] lastCoveredSequences,
      RecordedStatuses statuses) {
    BitSet uncovered = uncovered(job, delta.completed(), sequence, lastCoveredSequences);
    statuses.completed.or(uncovered);
    uncovered.or(uncovered(job, delta.cleared(), sequence, lastCoveredSequences));
    uncovered.stream().forEach(statuses.placements::remove);
    for (SnapshotRecord.RecordedPlacement placement : delta.placements()) {
      if (isUncovered(job, placement.task(), sequence, lastCoveredSequences)) {
        uncovered.set(placement.task());
        statuses.placements.put(placement.task(), placement);
      }
    }
    if (!job.quarantined()) {
      loader.loadUncoveredStatuses(job, uncovered, sequence);
    }
  }

  /** Returns those of the job's tasks whose status in this record no snapshot covers. */
  private static BitSet uncovered(
      Job job, TaskRanges tasks, long sequence, long[] lastCoveredSequences) {
    BitSet uncovered = new BitSet();
    for (int range = 0; range < tasks.rangeCount(); range++) {
      int lastTask = Math.min(tasks.lastTask(range), job.spec().tasks() - 1);
      for (int task = tasks.firstTask(range); task <= lastTask; task++) {
        uncovered.set(task, isUncovered(job, task, sequence, lastCoveredSequences));
      }
    }
    return uncovered;
  }

  private static boolean isUncovered(
      Job job, int task, long sequence, long[] lastCoveredSequences) {
    return task < job.spec().tasks() && sequence > lastCoveredSequences[job.shardOf(task)];
  }

  /** Returns the shard's index in the key of a snapshot; empty if the job has no such shard. */
  private static OptionalInt shardIndex(String key, Job job) {
    try {
      int index = Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
      return index >= 0 && index < job.shardCount() ? OptionalInt.of(index) : OptionalInt.empty();
    } catch (NumberFormatException e) {
      return OptionalInt.empty();
    }
  }
}
