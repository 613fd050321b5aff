package org.ploverspindle.progress;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Term;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressLogRecord;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SnapshotRecord;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes the leader's progress durable: one transaction at a time, all that happened since the last
 * one in it. Changes are scarce, so what happened to the tasks of all jobs goes into one record of
 * a log with a fixed number of slots. A slot is used again only when no task's newest statement is
 * in the record that stands there: each has been said again in a newer record, has been written
 * with its whole chunk into a checkpoint, or its job is over.
 *
 * <p>Chunks of jobs that were accepted under higher limits may not fit into a value any more. What
 * rests on old records of theirs is said again in new ones, as much as fits, before its slot's
 * turn; a slot whose record can't be replaced yet is passed over.
 *
 * <p>Each write is bound to the leader key's version, so that a deposed leader's writes fail, and
 * to the version of every key it replaces. An unanswered write may be executed late: all that it
 * said is said again under higher numbers, and readers take the highest.
 *
 * <p>Of a cancelled job only the ends of its placements are still news: a new leader would count
 * them until it had proven them gone once more. They are cleared in a record that goes out anyway,
 * or in one of their own after {@link #CLEAR_WAIT_MS}, and never before anything else. The job
 * itself is kept here until nothing older than its newest statements stands.
 */
public final class ProgressWriter {
  private static final Logger LOG = LoggerFactory.getLogger(ProgressWriter.class);

  /** For so long the ends of cancelled jobs' placements wait for a record that goes out anyway. */
  static final long CLEAR_WAIT_MS = 5_000;

  /** What happens at once goes into one transaction. */
  private static final long GATHER_MS = 8;

  private static final long NO_BUDGET_MS = 40;
  private static final long NO_ROOM_MS = 100;
  private static final long REMOVAL_WAIT_MS = 1_000;
  private static final long AFTER_READ_BACK_MS = 10;
  private static final long READ_BACK_FAILED_MS = 300;
  private static final long REFUSED_MS = 60;
  private static final long LONGEST_REFUSED_MS = 1_000;
  private static final int MOST_DOUBLINGS = 4;
  private static final int TOO_LARGE = 400;
  private static final int TOO_MANY = 429;

  /** What happens to the writer's outcome. */
  public interface Listener {
    /** These became durable: their orders may go out. */
    void durable(List<Placement> placements);

    void finished(Job job);

    void deposed(String cause);
  }

  private final Scheduler scheduler;
  private final StateStore store;
  private final Replica replica;
  private final TokenBucket writes;
  private final Term term;
  private final Listener listener;
  private final WriteLimits limits;
  private final PendingProgress pending = new PendingProgress();
  private final ProgressLogSlots slots = new ProgressLogSlots();
  private final ShardSnapshots snapshots = new ShardSnapshots();
  private final DurableTasks durable = new DurableTasks();
  private final WriteBatchContext context;

  /** Cancelled jobs of which placements may have ended since what to clear was looked at. */
  private final LinkedHashSet<Job> endedOf = new LinkedHashSet<>();

  private long nextRecord = 1;
  private long recordsTried;
  private boolean busy;
  private Optional<Cancellable> planned = Optional.empty();
  private long plannedMs;
  private long clearDueMs;
  private boolean endsWaited;
  private boolean closed;
  private int failures;
  private long failingSinceMs = -1;

  public ProgressWriter(
      Scheduler scheduler,
      StateStore store,
      Replica replica,
      TokenBucket writes,
      int txnOps,
      int valueBytes,
      Term term,
      Function<Machine, SnapshotRecord.MachineInfo> hostNames,
      Listener listener) {
    this.scheduler = scheduler;
    this.store = store;
    this.replica = replica;
    this.writes = writes;
    this.term = term;
    this.listener = listener;
    this.limits = new WriteLimits(txnOps, valueBytes);
    this.context =
        new WriteBatchContext(
            scheduler, term, limits, new ProgressEncoder(hostNames), pending, slots, snapshots);
  }

  public void close() {
    closed = true;
  }

  // ---- taking over

  /** A record of the log stands in its slot. */
  public void loadRecord(Entry entry, long n) {
    slots.recordStored(n, entry.modRevision());
    nextRecord = Math.max(nextRecord, n + 1);
  }

  /** What stands under this key of the log can't be read. */
  public void loadUnreadable(String key) {
    slots.markUnreadable(key);
  }

  /** A checkpoint that an earlier leader wrote. */
  public void loadSnapshot(Job job, int chunk, long stamp) {
    snapshots.stored(new TaskShard(job, chunk), stamp);
  }

  /** Record {@code n} speaks of these tasks, and no checkpoint covers it. */
  public void loadUncovered(Job job, BitSet tasks, long n) {
    TaskShard.of(job, tasks).forEach((c, some) -> slots.statusRecorded(c, some, n));
  }

  /** Record {@code n} speaks of the job, be it covered or not. */
  public void loadMention(Job job, long n) {
    slots.addMention(job.uid(), n);
  }

  public void loadCompleted(Job job, BitSet done) {
    durable.loadCompleted(job, done);
  }

  /** These tasks are on machines by the records. */
  public void loadPlaced(Job job, Set<Integer> tasks) {
    BitSet live = new BitSet();
    tasks.forEach(live::set);
    durable.loadPlaced(job, live);
  }

  public boolean isDurablyDone(Job job, int task) {
    return job.finished() || durable.isCompleted(job, task);
  }

  // ---- what is to be written

  /** The task's progress changed. */
  public void changed(Job job, int task) {
    // A job is not done before what it awaits is: it might still be aborted with that. And while an
    // attempt of a done task may still be somewhere, it is recorded: it takes its room.
    if (job.allTasksCompleted()
        && job.activePlacements().isEmpty()
        && !job.cancelled()
        && !job.blockedOnDependencies()) {
      pending.markCompleted(job);
    } else {
      pending.markChanged(job, task);
    }
    plan(GATHER_MS);
  }

  /**
   * Placements of a cancelled job may have ended: those that a record speaks of are to be cleared.
   * Call it after their proof alone.
   */
  public void cancelledTasksEnded(Job job) {
    if (job.quarantined()) {
      // What can't be read may speak of any task: its records stay as they are.
      return;
    }
    if (!pending.hasClearings() && endedOf.isEmpty()) {
      clearDueMs = scheduler.nowMs() + CLEAR_WAIT_MS;
    }
    endedOf.add(job);
    planClearing();
  }

  /** Once for all that ended of a job since the last flush: large jobs end task by task. */
  private void findWhatToClear() {
    for (Job job : endedOf) {
      BitSet gone = durable.placedInRecordsOnly(job);
      if (job.isFullyStopped()) {
        gone.or(uncoveredByRemoval(job));
      }
      if (!gone.isEmpty()) {
        pending.markForClearing(job, gone);
      }
    }
    endedOf.clear();
  }

  /** A checkpoint hides older records, which would count again once it is removed. */
  private BitSet uncoveredByRemoval(Job job) {
    BitSet tasks = new BitSet();
    if (slots.isMentioned(job.uid())) {
      for (int i = 0; i < job.shardCount(); i++) {
        TaskShard c = new TaskShard(job, i);
        if (snapshots.exists(c)) {
          tasks.set(c.firstTask(), c.endTask());
        }
      }
    }
    return tasks;
  }

  private void planClearing() {
    if (pending.hasClearings() || !endedOf.isEmpty()) {
      plan(Math.max(0, clearDueMs - scheduler.nowMs()));
    }
  }

  /**
   * The job is over and none of its tasks is anywhere. Nobody reads the progress of a finished job;
   * of a cancelled one that is gone only what would be read otherwise is still said.
   */
  public void over(Job job) {
    pending.forgetChanges(job);
    durable.forgetCompleted(job);
    boolean readAgain = job.isFullyStopped() && !job.quarantined();
    if (readAgain) {
      cancelledTasksEnded(job);
    } else {
      endedOf.remove(job);
      pending.forgetClearing(job);
      durable.forgetPlaced(job);
    }
    for (int i = 0; i < job.shardCount(); i++) {
      TaskShard c = new TaskShard(job, i);
      if (!readAgain) {
        slots.releaseUpTo(c, Long.MAX_VALUE);
      }
      snapshots.jobTerminated(c);
      if (snapshots.exists(c)) {
        pending.markRemovable(c);
      }
    }
    if (pending.hasSnapshotRemovals()) {
      plan(REMOVAL_WAIT_MS);
    }
  }

  /** Since when no write has been carried out although some were tried, or -1. */
  public long failingSinceMs() {
    return failingSinceMs;
  }

  /** How much waits to be written. */
  public int backlog() {
    return pending.size();
  }

  // ---- the write in flight

  /** The next flush comes this soon, or sooner if it was planned so. */
  private void plan(long delayMs) {
    long dueMs = scheduler.nowMs() + delayMs;
    if (busy || closed || planned.isPresent() && plannedMs <= dueMs) {
      return;
    }
    planned.ifPresent(Cancellable::cancel);
    plannedMs = dueMs;
    planned =
        Optional.of(
            scheduler.schedule(
                delayMs,
                () -> {
                  planned = Optional.empty();
                  flush();
                }));
  }

  private void flush() {
    if (busy || closed) {
      return;
    }
    boolean othersWait =
        pending.hasChanges() || pending.hasCompletions() || pending.hasSnapshotRemovals();
    if (!othersWait && scheduler.nowMs() < clearDueMs) {
      planClearing();
      return;
    }
    findWhatToClear();
    boolean clearingIsDue = pending.hasClearings() && scheduler.nowMs() >= clearDueMs;
    if (!othersWait && !clearingIsDue) {
      return;
    }
    int budget = (int) Math.min(limits.changes(), Math.floor(writes.available()));
    if (budget < 1) {
      plan(NO_BUDGET_MS);
      return;
    }
    WriteBatch batch =
        new WriteBatch(
            context, budget, nextRecord, () -> term.fencingToken() + "." + ++recordsTried);
    // Removed checkpoints may uncover what has to be cleared, in the same transaction at the
    // latest.
    batch.fill(endsWaited, clearingIsDue || pending.hasSnapshotRemovals());
    endsWaited = pending.hasCompletions();
    if (batch.isEmpty()) {
      plan(NO_ROOM_MS);
      return;
    }
    send(batch);
  }

  private void send(WriteBatch batch) {
    // From now on it may stand, whether an answer tells of it or not.
    batch
        .records()
        .forEach((n, chunks) -> chunks.keySet().forEach(c -> slots.addMention(c.job().uid(), n)));
    batch.statuses().forEach(durable::sending);
    busy = true;
    writes.take(batch.changes());
    long sentMs = scheduler.nowMs();
    LOG.debug("writing {}; {} left", batch, pending.jobsWithChanges());
    store.commit(
        batch.transaction(),
        r -> {
          LOG.debug("written after {} ms", scheduler.nowMs() - sentMs);
          answered(batch, r);
        });
  }

  private void answered(WriteBatch batch, TransactionResult result) {
    busy = false;
    if (closed) {
      return;
    }
    if (result instanceof TransactionResult.Committed committed) {
      failures = 0;
      failingSinceMs = -1;
      committed(batch, committed.revision());
      plan(GATHER_MS);
      return;
    }
    failures++;
    again(batch);
    boolean tooMany = result instanceof TransactionResult.Refused r && r.status() == TOO_MANY;
    if (failingSinceMs < 0 && !tooMany && !(result instanceof TransactionResult.Conflict)) {
      failingSinceMs = scheduler.nowMs();
    }
    if (result instanceof TransactionResult.Refused refused) {
      refused(batch, refused.status());
      return;
    }
    if (result instanceof TransactionResult.Unknown) {
      // It may yet stand: what is written after it has higher numbers, and so is what counts.
      batch.records().keySet().forEach(n -> nextRecord = Math.max(nextRecord, n + 1));
    }
    readBack(batch, result);
  }

  private void refused(WriteBatch batch, int status) {
    if (status == TOO_LARGE) {
      LOG.error(
          "the state service takes no write of {}, {} in the largest value: the next ones are"
              + " smaller",
          batch,
          batch.largestValueBytes());
      limits.refused(batch.changes(), batch.bytes(), batch.largestValueBytes());
    }
    plan(Math.min(LONGEST_REFUSED_MS, REFUSED_MS << Math.min(MOST_DOUBLINGS, failures)));
  }

  /** Whatever the transaction said is to be written again, as it will be then. */
  private void again(WriteBatch batch) {
    for (TaskStatuses s : batch.statuses()) {
      if (s.job().isFullyStopped()) {
        cancelledTasksEnded(s.job());
      } else if (!s.job().isTerminal() || !s.job().activePlacements().isEmpty()) {
        pending.markChanged(s.job(), s.tasks());
      }
    }
    batch.completedJobs().forEach(pending::markCompleted);
    batch.removedSnapshots().forEach(pending::markRemovable);
  }

  private void committed(WriteBatch batch, long ledger) {
    for (TaskShard c : batch.snapshots()) {
      snapshots.stored(c, ledger);
      slots.releaseUpTo(c, batch.coveredUpTo());
    }
    batch
        .records()
        .forEach(
            (n, chunks) -> {
              chunks.forEach(
                  (c, tasks) -> {
                    if (!c.job().finished()) {
                      slots.statusRecorded(c, tasks, n);
                    }
                  });
              slots.slotOverwritten(n);
              slots.recordStored(n, ledger);
              nextRecord = Math.max(nextRecord, n + 1);
            });
    List<Placement> placements = new ArrayList<>();
    for (TaskStatuses s : batch.statuses()) {
      durable.committed(s);
      s.placements().forEach(p -> p.markRecorded(scheduler.nowMs()));
      placements.addAll(s.placements());
    }
    batch.removedSnapshots().forEach(snapshots::removed);
    batch.completedJobs().forEach(this::finish);
    listener.durable(placements);
  }

  private void finish(Job job) {
    pending.completionRecorded(job);
    if (!job.finished()) {
      job.finish();
      over(job);
      listener.finished(job);
    }
  }

  // ---- reading back

  /** After no answer or a conflict only reading back tells what stands there now. */
  private void readBack(WriteBatch batch, TransactionResult result) {
    busy = true;
    replica.readBarrier(
        ok -> {
          busy = false;
          if (closed) {
            return;
          }
          if (ok) {
            wasReadBack(batch, result);
          }
          plan(ok ? AFTER_READ_BACK_MS : READ_BACK_FAILED_MS);
        });
  }

  private void wasReadBack(WriteBatch batch, TransactionResult result) {
    boolean ours =
        replica.get(Keys.LEADER).map(e -> e.modRevision() == term.leaderRevision()).orElse(false);
    if (!ours) {
      listener.deposed("the leader key changed under a write");
      return;
    }
    LOG.debug("a write was read back after {}", result);
    batch.snapshots().forEach(this::readStamp);
    batch.removedSnapshots().forEach(this::readStamp);
    pending.retainExisting(snapshots);
    for (Job job : batch.completedJobs()) {
      if (replica.get(Keys.completion(job.uid())).isPresent()) {
        finish(job);
      }
    }
    // A record of an earlier try, executed late, may stand in a slot. What it said is written again
    // by the next; only its place in the log is taken.
    replica.withPrefix(Keys.PROGRESS_LOG).values().forEach(this::taken);
  }

  private void readStamp(TaskShard c) {
    snapshots.stored(c, replica.get(c.key()).map(Entry::modRevision).orElse(0L));
  }

  /** If a record of an unanswered write stands, what it speaks of rests on it. */
  private void taken(Entry e) {
    Optional<ProgressLogRecord> record = ProgressLogRecord.decode(e.value());
    long n = record.map(ProgressLogRecord::sequence).orElse(-1L);
    if (n < 0
        || !Keys.progressLog(n).equals(e.key())
        || slots.modRevisionAt(n) == e.modRevision()) {
      return;
    }
    for (ProgressLogRecord.Delta d : record.get().deltas()) {
      slots.addMention(d.uid(), n);
      job(d.uid()).ifPresent(job -> loadUncovered(job, tasksOf(d), n));
    }
    slots.slotOverwritten(n);
    loadRecord(e, n);
  }

  private static BitSet tasksOf(ProgressLogRecord.Delta d) {
    BitSet tasks = (BitSet) d.completed().clone();
    tasks.or(d.cleared());
    d.placements().forEach(l -> tasks.set(l.task()));
    return tasks;
  }

  /** A job that anything is known of here. */
  private Optional<Job> job(String uid) {
    return pending.findJob(uid).or(() -> slots.findJob(uid)).or(() -> durable.findJob(uid));
  }
}
