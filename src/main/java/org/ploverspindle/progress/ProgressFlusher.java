package org.ploverspindle.progress;

import java.util.OptionalLong;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends pending progress to the state service, one transaction at a time. */
final class ProgressFlusher {
  private static final Logger LOG = LoggerFactory.getLogger(ProgressFlusher.class);

  /** How long changes are collected before they are sent in one transaction. */
  static final long BATCHING_DELAY_MS = 8;

  /** Delay before the next try when the budget of changes is used up. */
  private static final long NO_BUDGET_RETRY_MS = 40;

  /** Delay before the next try when nothing that is pending could be added to a transaction. */
  private static final long EMPTY_BATCH_RETRY_MS = 100;

  private static final long MIN_BACKOFF_MS = 60;
  private static final long MAX_BACKOFF_MS = 1_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  /** Status with which the state service refuses a transaction that is malformed or too large. */
  private static final int BAD_REQUEST = 400;

  private static final int TOO_MANY_REQUESTS = 429;

  private final WriteBatchContext context;
  private final StateStore store;
  private final TokenBucket changeBudget;
  private final FlushTimer timer;
  private final PlacementClearing clearing;
  private final WriteOutcome outcome;
  private final WriteReadBack readBack;

  /**
   * The number of log records that were built in this term, including those that were never sent.
   * It is part of each record's id and makes the ids unique.
   */
  private long builtRecords;

  /** Whether the last transaction had no room for some of the pending completions. */
  private boolean completionsLeftOver;

  private int consecutiveFailures;
  private OptionalLong failingSinceMs = OptionalLong.empty();

  /**
   * @param changeBudget the budget of changes: one token for each change
   */
  ProgressFlusher(
      WriteBatchContext context,
      StateStore store,
      TokenBucket changeBudget,
      FlushTimer timer,
      PlacementClearing clearing,
      WriteOutcome outcome,
      WriteReadBack readBack) {
    this.context = context;
    this.store = store;
    this.changeBudget = changeBudget;
    this.timer = timer;
    this.clearing = clearing;
    this.outcome = outcome;
    this.readBack = readBack;
  }

  /**
   * Since when transactions have failed: the time of the first failure after the last committed
   * one, in milliseconds of the scheduler's clock; empty if none has failed since. Conflicts and
   * refusals for the rate of requests don't count as failures.
   */
  OptionalLong failingSinceMs() {
    return failingSinceMs;
  }

  /** Sends one transaction with as much of the pending progress as the limits allow. */
  void flush() {
    PendingProgress pending = context.pending();
    boolean hasOtherProgress =
        pending.hasChangedTasks() || pending.hasCompletions() || pending.hasSnapshotRemovals();
    if (!hasOtherProgress && !clearing.isDue()) {
      clearing.scheduleFlush();
      return;
    }
    clearing.collectEndedPlacements();
    boolean clearingIsDue = pending.hasPlacementsToClear() && clearing.isDue();
    if (!hasOtherProgress && !clearingIsDue) {
      return;
    }
    int budget =
        (int) Math.min(context.limits().maxChanges(), Math.floor(changeBudget.available()));
    if (budget < 1) {
      timer.flushWithin(NO_BUDGET_RETRY_MS);
      return;
    }
    WriteBatch batch = plan(budget, clearingIsDue);
    if (batch.isEmpty()) {
      timer.flushWithin(EMPTY_BATCH_RETRY_MS);
      return;
    }
    send(batch);
  }

  private WriteBatch plan(int budget, boolean clearingIsDue) {
    PendingProgress pending = context.pending();
    WriteBatchPlanner planner = new WriteBatchPlanner(context, budget, this::nextRecordId);
    // Once a snapshot is removed, readers use the older log records that it covered. Placements in
    // them that have ended must be cleared in the same transaction or before.
    WriteBatch batch =
        planner.plan(completionsLeftOver, clearingIsDue || pending.hasSnapshotRemovals());
    completionsLeftOver = pending.hasCompletions();
    return batch;
  }

  private String nextRecordId() {
    return context.term().fencingToken() + "." + ++builtRecords;
  }

  private void send(WriteBatch batch) {
    Scheduler scheduler = context.scheduler();
    // From now on the records may be stored, whether or not the transaction is answered.
    batch
        .records()
        .forEach(
            (sequence, tasksByJob) ->
                tasksByJob
                    .keySet()
                    .forEach(job -> context.slots().addMention(job.uid(), sequence)));
    batch.statuses().forEach(context.state().durableTasks()::markPossiblyStored);
    timer.writeStarted();
    changeBudget.take(batch.changeCount());
    long sentMs = scheduler.nowMs();
    LOG.debug(
        "progress write sent: {} jobs_left={}", batch, context.pending().jobsWithChangedTasks());
    store.commit(
        batch.transaction(),
        result -> {
          LOG.debug("progress write answered: duration_ms={}", scheduler.nowMs() - sentMs);
          handleResult(batch, result);
        });
  }

  private void handleResult(WriteBatch batch, TransactionResult result) {
    timer.writeEnded();
    if (timer.isClosed()) {
      return;
    }
    if (result instanceof TransactionResult.Committed committed) {
      consecutiveFailures = 0;
      failingSinceMs = OptionalLong.empty();
      outcome.committed(batch, committed.revision());
      timer.flushWithin(BATCHING_DELAY_MS);
      return;
    }
    consecutiveFailures++;
    outcome.requeue(batch);
    if (failingSinceMs.isEmpty() && isServiceFailure(result)) {
      failingSinceMs = OptionalLong.of(context.scheduler().nowMs());
    }
    if (result instanceof TransactionResult.Refused refused) {
      handleRefusal(batch, refused.status());
      return;
    }
    if (result instanceof TransactionResult.Unknown) {
      // The records may still be stored later. Records that are written from now on get higher
      // sequence numbers, so that readers prefer them.
      batch.records().keySet().forEach(context.slots()::reserve);
    }
    readBack.start(batch, result);
  }

  /**
   * Whether the result counts as a failure of the state service. All results of transactions that
   * were not committed do, except conflicts and refusals for the rate of requests.
   */
  private static boolean isServiceFailure(TransactionResult result) {
    boolean rateLimited =
        result instanceof TransactionResult.Refused refused
            && refused.status() == TOO_MANY_REQUESTS;
    return !rateLimited && !(result instanceof TransactionResult.Conflict);
  }

  private void handleRefusal(WriteBatch batch, int status) {
    if (status == BAD_REQUEST) {
      LOG.error(
          "progress write refused as too large, the next ones are smaller: {}"
              + " largest_value_bytes={}",
          batch,
          batch.largestValueBytes());
      context.limits().lowerBelow(batch.changeCount(), batch.bytes(), batch.largestValueBytes());
    }
    int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures);
    timer.flushWithin(Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << doublings));
  }
}
