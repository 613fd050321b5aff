package org.ploverspindle.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.BitSet;
import java.util.Iterator;
import java.util.function.Supplier;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.ProgressLogRecord;

/** Plans one transaction. Progress that is added to the transaction is no longer pending. */
final class WriteBatchPlanner {
  /**
   * A status that no snapshot covers is written again when the slot of its record is due for reuse
   * within this many records.
   */
  private static final int REWRITE_AHEAD_RECORDS = ProgressLogRecord.SLOTS / 4;

  /** The most log records that one call of {@link #addLogRecords} adds. */
  private static final int MAX_RECORDS_PER_PASS = REWRITE_AHEAD_RECORDS / 2;

  /**
   * The most snapshots that are added to a transaction although the slots that they make reusable
   * are not due for reuse yet.
   */
  private static final int MAX_EARLY_SNAPSHOTS = 2;

  private final WriteBatchContext context;
  private final int budget;
  private final Supplier<String> recordIds;
  private final long firstSequence;
  private final TransactionBuilder transaction;
  private final WriteBatch batch;
  private long nextSequence;

  /**
   * @param budget the most changes that the transaction may have
   * @param recordIds supplies a new id for each log record that is built
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
   * Adds pending progress, the most important first, and returns the transaction.
   *
   * @param completionsLeftOver whether the last transaction had no room for all completions
   * @param clearingIsDue whether a log record may be written for clearings alone
   */
  WriteBatch plan(boolean completionsLeftOver, boolean clearingIsDue) {
    // A launch waits until its placement is recorded, whereas a user may learn of a completion
    // later. With a budget of one change, placements therefore come first, unless completions were
    // left over from the last transaction. With a larger budget, completions come first and leave
    // one change for the placements.
    boolean completionsFirst =
        !context.pending().hasChangedTasks() || completionsLeftOver || budget > 1;
    if (completionsFirst) {
      addCompletions(Math.max(1, budget - 1));
    }
    long firstReplacedSequence = firstSequence - ProgressLogRecord.SLOTS;
    addSnapshots(firstReplacedSequence, budget);
    addLogRecords(false);
    addCompletions(budget);
    if (clearingIsDue) {
      addLogRecords(true);
    }
    addSnapshots(
        firstReplacedSequence + REWRITE_AHEAD_RECORDS,
        Math.min(budget, transaction.changeCount() + MAX_EARLY_SNAPSHOTS));
    addSnapshotRemovals();
    return batch;
  }

  private void addCompletions(int maxChanges) {
    Iterator<Job> jobs = context.pending().completions();
    while (jobs.hasNext() && transaction.hasRoomForPut(maxChanges)) {
      Job job = jobs.next();
      jobs.remove();
      if (!job.cancelled() && !job.finished()) {
        batch.addCompletion(job);
      }
    }
  }

  /**
   * Adds log records while there is progress to write and room for it. A slot that can't be reused
   * yet is skipped.
   *
   * @param forClearing whether a record may be written for clearings alone
   */
  private void addLogRecords(boolean forClearing) {
    ProgressLogSlots slots = context.slots();
    long endSequence = firstSequence + ProgressLogRecord.SLOTS;
    int recordCount = 0;
    for (long sequence = nextSequence;
        sequence < endSequence
            && recordCount < MAX_RECORDS_PER_PASS
            && transaction.hasRoomForPut(budget);
        sequence++) {
      if (slots.isUnreadable(sequence)) {
        continue;
      }
      LogRecordBuilder record = new LogRecordBuilder(sequence, recordIds.get(), batch, context);
      if (!record.carryOver(slots.slotSequence(sequence))) {
        continue;
      }
      if (!appendPending(record, forClearing) || record.isEmpty()) {
        return;
      }
      addLogRecord(record);
      recordCount++;
    }
  }

  /**
   * Appends pending progress to the record, as far as it fits.
   *
   * @param forClearing whether the record may be written for clearings alone
   * @return false if nothing is pending
   */
  private boolean appendPending(LogRecordBuilder record, boolean forClearing) {
    boolean foundPending =
        record.appendOversizedShards(
            firstSequence - ProgressLogRecord.SLOTS + REWRITE_AHEAD_RECORDS);
    foundPending |= record.appendStatuses(context.pending().changedTasks());
    if (foundPending || forClearing) {
      // Clearings come last, so that they take no room from placements whose launches wait.
      foundPending |= record.appendStatuses(context.pending().placementsToClear());
    }
    return foundPending;
  }

  private void addLogRecord(LogRecordBuilder record) {
    batch.addRecord(record, context.slots().slotModRevision(record.sequence()));
    for (TaskStatuses statuses : record.statuses()) {
      context.pending().removeIncluded(statuses.job(), statuses.tasks());
    }
    nextSequence = record.sequence() + 1;
  }

  /**
   * Adds snapshots of shards that have a task whose latest status is in a log record up to this
   * one.
   *
   * @param lastSequence the sequence number of that record
   * @param maxChanges the most changes that the transaction may then have
   */
  private void addSnapshots(long lastSequence, int maxChanges) {
    context
        .slots()
        .latestStatuses()
        .visitShardsUpTo(
            lastSequence,
            shard -> {
              if (!transaction.hasRoomForPut(maxChanges)) {
                return false;
              }
              if (needsSnapshot(shard) && !context.isTooLarge(shard)) {
                addSnapshot(shard);
              }
              return true;
            });
  }

  private boolean needsSnapshot(TaskShard shard) {
    return !batch.hasSnapshot(shard) && !shard.job().quarantined() && !shard.job().isFullyStopped();
  }

  private void addSnapshot(TaskShard shard) {
    BitSet tasks = new BitSet();
    tasks.set(shard.firstTask(), shard.endTask());
    TaskStatuses statuses = TaskStatuses.of(shard.job(), tasks);
    // The snapshot covers the log before this batch. Log records of the batch that have statuses of
    // the same tasks repeat those in the snapshot.
    JsonNode value = context.encoder().encodeSnapshot(statuses, batch.lastCoveredSequence());
    int size = Cbor.jsonSize(value);
    if (size > context.limits().maxValueBytes()) {
      context.snapshots().markTooLarge(shard, context.scheduler().nowMs());
      return;
    }
    batch.addSnapshot(shard, statuses, context.snapshots().modRevision(shard), value, size);
  }

  private void addSnapshotRemovals() {
    Iterator<TaskShard> shards = context.pending().snapshotRemovals();
    while (shards.hasNext() && transaction.hasRoomForRemoval(budget)) {
      TaskShard shard = shards.next();
      if (context.pending().hasPlacementsToClear(shard.job())) {
        // Once the snapshot is removed, readers use older log records, which may place tasks that
        // are proven gone. The removal therefore waits until these placements are cleared.
        continue;
      }
      shards.remove();
      batch.addSnapshotRemoval(shard, context.snapshots().modRevision(shard));
    }
  }
}
