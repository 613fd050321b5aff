package org.ploverspindle.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore;

/** A transaction with the progress that it makes durable. Kept until its outcome is known. */
final class WriteBatch {
  private static final BitSet NO_TASKS = new BitSet();

  private final TransactionBuilder transaction;
  private final long lastCoveredSequence;
  private final List<TaskStatuses> statuses = new ArrayList<>();
  private final List<Job> completedJobs = new ArrayList<>();
  private final List<TaskShard> snapshots = new ArrayList<>();
  private final List<TaskShard> removedSnapshots = new ArrayList<>();
  private final Map<Long, Map<Job, BitSet>> records = new LinkedHashMap<>();

  /**
   * @param lastCoveredSequence the sequence number of the last log record before those of the batch
   */
  WriteBatch(TransactionBuilder transaction, long lastCoveredSequence) {
    this.transaction = transaction;
    this.lastCoveredSequence = lastCoveredSequence;
  }

  void addCompletion(Job job) {
    transaction.putCompletion(job);
    completedJobs.add(job);
  }

  /**
   * Adds a log record.
   *
   * @param modRevision the mod revision of the key of the record's slot; 0 if the slot is empty
   */
  void addRecord(LogRecordBuilder record, long modRevision) {
    String key = Keys.progressLog(record.sequence());
    transaction.put(key, modRevision, record.value(), record.bytes());
    records.put(record.sequence(), record.includedTasks());
    statuses.addAll(record.statuses());
  }

  /**
   * Adds a snapshot of a shard.
   *
   * @param modRevision the mod revision of the snapshot that is replaced; 0 if there is none
   * @param size the size of the value in bytes
   */
  void addSnapshot(
      TaskShard shard, TaskStatuses shardStatuses, long modRevision, JsonNode value, int size) {
    transaction.put(shard.snapshotKey(), modRevision, value, size);
    statuses.add(shardStatuses);
    snapshots.add(shard);
  }

  void addSnapshotRemoval(TaskShard shard, long modRevision) {
    transaction.remove(shard.snapshotKey(), modRevision);
    removedSnapshots.add(shard);
  }

  /** Returns those of the job's tasks whose status this batch does not include yet. */
  BitSet notYetIncluded(Job job, BitSet tasks) {
    BitSet missing = (BitSet) tasks.clone();
    snapshots.stream()
        .filter(shard -> shard.job() == job)
        .forEach(shard -> missing.clear(shard.firstTask(), shard.endTask()));
    records.values().forEach(included -> missing.andNot(included.getOrDefault(job, NO_TASKS)));
    return missing;
  }

  boolean hasSnapshot(TaskShard shard) {
    return snapshots.contains(shard);
  }

  StateStore.Transaction transaction() {
    return transaction.build();
  }

  boolean isEmpty() {
    return transaction.changeCount() == 0;
  }

  /** The number of changes in the transaction. */
  int changeCount() {
    return transaction.changeCount();
  }

  /** The estimated size of the transaction in bytes. */
  int bytes() {
    return transaction.bytes();
  }

  int largestValueBytes() {
    return transaction.largestValueBytes();
  }

  /**
   * The sequence number of the last log record before those of the batch. The batch's snapshots
   * cover the log up to that record.
   */
  long lastCoveredSequence() {
    return lastCoveredSequence;
  }

  /** The statuses in the batch's log records and snapshots. */
  List<TaskStatuses> statuses() {
    return Collections.unmodifiableList(statuses);
  }

  /** The jobs whose completion the batch records. */
  List<Job> completedJobs() {
    return Collections.unmodifiableList(completedJobs);
  }

  /** The shards of which the batch writes a snapshot. */
  List<TaskShard> snapshots() {
    return Collections.unmodifiableList(snapshots);
  }

  /** The shards whose snapshot the batch removes. */
  List<TaskShard> removedSnapshots() {
    return Collections.unmodifiableList(removedSnapshots);
  }

  /** The tasks in the batch's log records, by the record's sequence number and by job. */
  Map<Long, Map<Job, BitSet>> records() {
    return Collections.unmodifiableMap(records);
  }

  /** The counts of the batch, as shown in log lines. */
  @Override
  public String toString() {
    return "changes="
        + changeCount()
        + " bytes="
        + bytes()
        + " log_records="
        + records.size()
        + " completions="
        + completedJobs.size()
        + " snapshots="
        + snapshots.size();
  }
}
