package org.ploverspindle.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.BitSet;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Supplier;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.ProgressLogRecord;

/** Plans one transaction; what goes into it is no longer pending. */
final class WriteBatchPlanner {
  /**
   * Statuses that no snapshot covers are written again when their record's slot is due for reuse
   * within this many records.
   */
  private static final int REWRITE_AHEAD_RECORDS = ProgressLogRecord.SLOTS / 4;

  private static final int MAX_RECORDS = REWRITE_AHEAD_RECORDS / 2;

  /** How many snapshots that are not urgent yet go along with the other changes. */
  private static final int MAX_EARLY_SNAPSHOTS = 2;

  private final WriteBatchContext context;
  private final int budget;
  private final Supplier<String> recordIds;
  private final long firstSequence;
  private final TransactionBuilder transaction;
  private final WriteBatch batch;
  private long nextSequence;

  /**
   * @param budget how many changes the transaction may hold
   * @param recordIds makes the id of each log record that is tried
   */
  WriteBatchPlanner(WriteBatchContext context, int budget, Supplier<String> recordIds) {
    this.context = context;
    this.budget = budget;
    this.recordIds = recordIds;
    this.firstSequence = context.slots().nextSequence();
    this.nextSequence = firstSequence;
    this.transaction = new TransactionBuilder(context.limits(), context.term().leaderRevision());
    this.batch = new WriteBatch(transaction, firstSequence - 1);
  }

  /**
   * Adds what is pending, the most important first.
   *
   * @param completionsLeftOver whether the last transaction had no room for all completions
   * @param clearingIsDue whether a log record may be written for clearings alone
   */
  WriteBatch plan(boolean completionsLeftOver, boolean clearingIsDue) {
    // Launches wait for the record of their placement; users may learn of a completion later.
    boolean completionsFirst = !context.pending().hasChanges() || completionsLeftOver || budget > 1;
    if (completionsFirst) {
      addCompletions(Math.max(1, budget - 1));
    }
    long reusedNow = firstSequence - ProgressLogRecord.SLOTS;
    addSnapshots(reusedNow, budget);
    addLogRecords(false);
    addCompletions(budget);
    if (clearingIsDue) {
      addLogRecords(true);
    }
    addSnapshots(
        reusedNow + REWRITE_AHEAD_RECORDS,
        Math.min(budget, transaction.changes() + MAX_EARLY_SNAPSHOTS));
    addSnapshotRemovals();
    return batch;
  }

  private void addCompletions(int maxChanges) {
    Iterator<Job> jobs = context.pending().completions();
    while (jobs.hasNext() && transaction.hasRoom(maxChanges)) {
      Job job = jobs.next();
      jobs.remove();
      if (!job.cancelled() && !job.finished()) {
        batch.addCompletion(job);
      }
    }
  }

  /**
   * Adds record after record while there is something to write. A slot that can't be reused yet is
   * skipped.
   *
   * @param forClearing whether a record may be written for clearings alone
   */
  private void addLogRecords(boolean forClearing) {
    ProgressLogSlots slots = context.slots();
    long end = firstSequence + ProgressLogRecord.SLOTS;
    int count = 0;
    for (long sequence = nextSequence;
        sequence < end && count < MAX_RECORDS && transaction.hasRoom(budget);
        sequence++) {
      if (slots.isUnreadable(sequence)) {
        continue;
      }
      LogRecordBuilder record = new LogRecordBuilder(sequence, recordIds.get(), batch, context);
      if (!record.carryOver(slots.storedSequenceAt(sequence))) {
        continue;
      }
      if (!appendPending(record, forClearing) || record.includedTasks().isEmpty()) {
        return;
      }
      addLogRecord(record);
      count++;
    }
  }

  /** Appends what is pending; false if nothing is. */
  private boolean appendPending(LogRecordBuilder record, boolean forClearing) {
    boolean any =
        record.appendOversized(firstSequence - ProgressLogRecord.SLOTS + REWRITE_AHEAD_RECORDS);
    any |= record.append(context.pending().changes());
    if (any || forClearing) {
      // Last, so that clearings take no room from launches that wait for their record.
      any |= record.append(context.pending().clearings());
    }
    return any;
  }

  private void addLogRecord(LogRecordBuilder record) {
    batch.addRecord(record, context.slots().modRevisionAt(record.sequence()));
    for (TaskStatuses statuses : record.statuses()) {
      context.pending().included(statuses.job(), statuses.tasks());
    }
    nextSequence = record.sequence() + 1;
  }

  /** Adds snapshots of the shards whose latest statuses are in log records up to this one. */
  private void addSnapshots(long lastSequence, int maxChanges) {
    for (Map<TaskShard, BitSet> shards : context.slots().latestStatusUpTo(lastSequence).values()) {
      for (TaskShard shard : shards.keySet()) {
        if (!transaction.hasRoom(maxChanges)) {
          return;
        }
        if (needsSnapshot(shard) && !context.isTooLarge(shard)) {
          addSnapshot(shard);
        }
      }
    }
  }

  private boolean needsSnapshot(TaskShard shard) {
    return !batch.hasSnapshot(shard) && !shard.job().quarantined() && !shard.job().isFullyStopped();
  }

  private void addSnapshot(TaskShard shard) {
    BitSet tasks = new BitSet();
    tasks.set(shard.firstTask(), shard.endTask());
    TaskStatuses statuses = TaskStatuses.of(shard.job(), tasks);
    // It covers the log before this batch; the batch's own log records repeat the same statuses.
    JsonNode value = context.encoder().snapshot(statuses, batch.coveredUpTo());
    int size = Cbor.jsonSize(value);
    if (size > context.limits().valueBytes()) {
      context.snapshots().markTooLarge(shard, context.scheduler().nowMs());
      return;
    }
    batch.addSnapshot(shard, statuses, context.snapshots().modRevision(shard), value, size);
  }

  private void addSnapshotRemovals() {
    Iterator<TaskShard> shards = context.pending().snapshotRemovals();
    while (shards.hasNext() && transaction.hasRoomForRemoval(budget)) {
      TaskShard shard = shards.next();
      if (context.pending().isToBeCleared(shard.job())) {
        // Without the snapshot older log records would place tasks that are proven gone.
        continue;
      }
      shards.remove();
      batch.addSnapshotRemoval(shard, context.snapshots().modRevision(shard));
    }
  }
}
