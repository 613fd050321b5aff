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

/** One transaction with the progress that it makes durable, kept until its outcome is known. */
final class WriteBatch {
  private static final BitSet NO_TASKS = new BitSet();

  private final TransactionBuilder transaction;
  private final long coveredUpTo;
  private final List<TaskStatuses> statuses = new ArrayList<>();
  private final List<Job> completedJobs = new ArrayList<>();
  private final List<TaskShard> snapshots = new ArrayList<>();
  private final List<TaskShard> removedSnapshots = new ArrayList<>();
  private final Map<Long, Map<TaskShard, BitSet>> records = new LinkedHashMap<>();

  /**
   * @param coveredUpTo the last log record before the batch's own
   */
  WriteBatch(TransactionBuilder transaction, long coveredUpTo) {
    this.transaction = transaction;
    this.coveredUpTo = coveredUpTo;
  }

  void addCompletion(Job job) {
    transaction.putCompletion(job);
    completedJobs.add(job);
  }

  /**
   * Adds a log record.
   *
   * @param modRevision of the key of its slot; 0: the slot is empty
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
   * @param modRevision of the shard's earlier snapshot; 0: there is none
   */
  void addSnapshot(
      TaskShard shard, TaskStatuses shardStatuses, long modRevision, JsonNode value, int size) {
    transaction.put(shard.key(), modRevision, value, size);
    statuses.add(shardStatuses);
    snapshots.add(shard);
  }

  void addSnapshotRemoval(TaskShard shard, long modRevision) {
    transaction.remove(shard.key(), modRevision);
    removedSnapshots.add(shard);
  }

  /** Those of the shard's tasks whose status this batch does not hold yet. */
  BitSet notYetIncluded(TaskShard shard, BitSet tasks) {
    BitSet missing = (BitSet) tasks.clone();
    if (snapshots.contains(shard)) {
      missing.clear();
    }
    records.values().forEach(shards -> missing.andNot(shards.getOrDefault(shard, NO_TASKS)));
    return missing;
  }

  boolean hasSnapshot(TaskShard shard) {
    return snapshots.contains(shard);
  }

  StateStore.Transaction transaction() {
    return transaction.build();
  }

  boolean isEmpty() {
    return transaction.changes() == 0;
  }

  /** The number of changes. */
  int changes() {
    return transaction.changes();
  }

  /** The estimated size of the transaction. */
  int bytes() {
    return transaction.bytes();
  }

  int largestValueBytes() {
    return transaction.largestValueBytes();
  }

  /** The last log record before the batch's own: its snapshots cover the log up to there. */
  long coveredUpTo() {
    return coveredUpTo;
  }

  /** The statuses in its log records and snapshots. */
  List<TaskStatuses> statuses() {
    return Collections.unmodifiableList(statuses);
  }

  /** Jobs whose completion it records. */
  List<Job> completedJobs() {
    return Collections.unmodifiableList(completedJobs);
  }

  /** Shards of which it holds a snapshot. */
  List<TaskShard> snapshots() {
    return Collections.unmodifiableList(snapshots);
  }

  /** Shards whose snapshot it removes. */
  List<TaskShard> removedSnapshots() {
    return Collections.unmodifiableList(removedSnapshots);
  }

  /** The tasks in each of its log records, by sequence number and shard. */
  Map<Long, Map<TaskShard, BitSet>> records() {
    return Collections.unmodifiableMap(records);
  }

  /** For logs. */
  @Override
  public String toString() {
    return "changes="
        + changes()
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
