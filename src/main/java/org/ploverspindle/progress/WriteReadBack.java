package org.ploverspindle.progress;

import java.util.BitSet;
import java.util.Optional;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.model.Term;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressLogRecord;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads back what is stored after a transaction that was not answered or that conflicted, so that
 * the next transaction has the right conditions. The contents of the transaction are pending again
 * in any case.
 */
final class WriteReadBack {
  private static final Logger LOG = LoggerFactory.getLogger(WriteReadBack.class);

  private static final long FLUSH_DELAY_AFTER_SUCCESS_MS = 10;
  private static final long FLUSH_DELAY_AFTER_FAILURE_MS = 300;

  private final Replica replica;
  private final Term term;
  private final ProgressState state;
  private final ProgressLoader loader;
  private final FlushTimer timer;
  private final WriteOutcome outcome;
  private final ProgressWriter.Listener listener;

  WriteReadBack(
      Replica replica,
      Term term,
      ProgressState state,
      FlushTimer timer,
      WriteOutcome outcome,
      ProgressWriter.Listener listener) {
    this.replica = replica;
    this.term = term;
    this.state = state;
    this.loader = new ProgressLoader(state);
    this.timer = timer;
    this.outcome = outcome;
    this.listener = listener;
  }

  /** Reads back what is stored, and then schedules the next flush. No flush runs before that. */
  void start(WriteBatch batch, TransactionResult result) {
    timer.writeStarted();
    replica.readBarrier(
        success -> {
          timer.writeEnded();
          if (timer.isClosed()) {
            return;
          }
          if (success) {
            apply(batch, result);
          }
          timer.flushWithin(success ? FLUSH_DELAY_AFTER_SUCCESS_MS : FLUSH_DELAY_AFTER_FAILURE_MS);
        });
  }

  private void apply(WriteBatch batch, TransactionResult result) {
    if (!isLeaderKeyUnchanged()) {
      listener.deposed("the leader key changed under a write");
      return;
    }
    LOG.debug("progress write read back: result={}", result);
    batch.snapshots().forEach(this::readSnapshot);
    batch.removedSnapshots().forEach(this::readSnapshot);
    state.pending().dropRemovalsOfMissingSnapshots(state.snapshots());
    for (Job job : batch.completedJobs()) {
      if (replica.endedJobs().isDone(job.uid())) {
        outcome.completionDurable(job);
      }
    }
    // A record of this or of an earlier unanswered transaction may have been stored late. Its
    // statuses are pending again in any case, but the writer must know that its slot is taken.
    replica.withPrefix(Keys.PROGRESS_LOG).values().forEach(this::readRecord);
  }

  private boolean isLeaderKeyUnchanged() {
    return replica
        .get(Keys.LEADER)
        .map(entry -> entry.modRevision() == term.leaderRevision())
        .orElse(false);
  }

  private void readSnapshot(TaskShard shard) {
    long modRevision = replica.get(shard.snapshotKey()).map(Entry::modRevision).orElse(0L);
    state.snapshots().setModRevision(shard, modRevision);
  }

  /** Registers a log record of which it was not known that it is stored. */
  private void readRecord(Entry entry) {
    Optional<ProgressLogRecord> record = ProgressLogRecord.decode(entry.value());
    if (record.isEmpty()) {
      return;
    }
    long sequence = record.get().sequence();
    if (sequence < 0
        || !Keys.progressLog(sequence).equals(entry.key())
        || state.slots().slotModRevision(sequence) == entry.modRevision()) {
      return;
    }
    for (ProgressLogRecord.Delta delta : record.get().deltas()) {
      state.slots().addMention(delta.uid(), sequence);
      state
          .findJob(delta.uid())
          .ifPresent(job -> loader.loadUncoveredStatuses(job, tasksOf(delta), sequence));
    }
    state.slots().slotOverwritten(sequence);
    loader.loadRecord(entry, sequence);
  }

  private static BitSet tasksOf(ProgressLogRecord.Delta delta) {
    BitSet tasks = delta.completed().toBitSet();
    delta.cleared().addTo(tasks);
    delta.placements().forEach(placement -> tasks.set(placement.task()));
    return tasks;
  }
}
