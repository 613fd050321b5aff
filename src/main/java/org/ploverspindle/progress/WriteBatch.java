package org.ploverspindle.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressLogRecord;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;

/**
 * One transaction: in the making, and then what it says, for when its answer comes. It takes what
 * it says out of what is pending.
 */
final class WriteBatch {
  /**
   * Records that speak of jobs not yet covered are rewritten this long before their slot's turn.
   */
  private static final int EARLY = ProgressLogRecord.SLOTS / 4;

  private static final int MOST_RECORDS = EARLY / 2;

  /** Checkpoints that are not urgent yet: so many go along with the rest. */
  private static final int EARLY_CHECKPOINTS = 2;

  // About what the parts of a transaction take beside the values, in bytes.
  private static final int FIXED_BYTES = 300;
  private static final int END_BYTES = 250;
  private static final int CHANGE_BYTES = 150;

  private static final BitSet NO_TASKS = new BitSet();

  private final WriteBatchContext context;
  private final LongFunction<LogRecordBuilder> newRecord;
  private final int budget;
  private final long firstRecord;
  private final List<Condition> conditions = new ArrayList<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<TaskStatuses> statuses = new ArrayList<>();
  private final List<Job> completedJobs = new ArrayList<>();
  private final List<TaskShard> snapshots = new ArrayList<>();
  private final List<TaskShard> removedSnapshots = new ArrayList<>();
  private final Map<Long, Map<TaskShard, BitSet>> records = new LinkedHashMap<>();
  private long nextRecord;
  private int bytes = FIXED_BYTES;
  private int largestValueBytes;

  /**
   * @param budget how many changes it may hold
   * @param firstRecord the number that the log goes on with
   * @param ids makes the id of each record that is tried
   */
  WriteBatch(WriteBatchContext sources, int budget, long firstRecord, Supplier<String> ids) {
    this.context = sources;
    this.budget = budget;
    this.firstRecord = firstRecord;
    this.nextRecord = firstRecord;
    this.newRecord = n -> new LogRecordBuilder(n, ids.get(), this, sources);
    conditions.add(new Condition(Keys.LEADER, sources.term().leaderRevision()));
  }

  /**
   * Takes in what is pending, in the order of its worth.
   *
   * @param endsWaited whether the last transaction left jobs to end
   * @param clears whether a record goes out for what is to be cleared alone
   */
  void fill(boolean endsWaited, boolean clears) {
    // What waits to start waits for its record; users may learn of an end a little later.
    boolean endsFirst = !context.pending().hasChanges() || endsWaited || budget > 1;
    if (endsFirst) {
      addCompletions(Math.max(1, budget - 1));
    }
    addSnapshots(firstRecord - ProgressLogRecord.SLOTS, budget);
    addLogRecords(false);
    addCompletions(budget);
    if (clears) {
      addLogRecords(true);
    }
    addSnapshots(
        firstRecord - ProgressLogRecord.SLOTS + EARLY,
        Math.min(budget, changes.size() + EARLY_CHECKPOINTS));
    addSnapshotRemovals();
  }

  private boolean hasRoom(int most) {
    return changes.size() < most
        && context.limits().roomForConditions(conditions.size())
        && (changes.isEmpty() || context.limits().roomForValue(bytes));
  }

  private void addCompletions(int most) {
    for (Iterator<Job> it = context.pending().completions(); it.hasNext() && hasRoom(most); ) {
      Job job = it.next();
      it.remove();
      if (job.cancelled() || job.finished()) {
        continue;
      }
      // Cancelled and done exclude each other: each is written only if the other is absent.
      conditions.add(new Condition(Keys.cancellation(job.uid()), 0));
      conditions.add(new Condition(Keys.completion(job.uid()), 0));
      changes.add(
          new Change.Put(Keys.completion(job.uid()), Cbor.map().put("tasks", job.spec().tasks())));
      bytes += END_BYTES;
      completedJobs.add(job);
    }
  }

  /**
   * Fills record after record. Whose slot can't be had yet is passed over.
   *
   * @param forClearing whether also for what is to be cleared alone
   */
  private void addLogRecords(boolean forClearing) {
    ProgressLogSlots slots = context.slots();
    long end = firstRecord + ProgressLogRecord.SLOTS;
    int count = 0;
    for (long n = nextRecord; n < end && count < MOST_RECORDS && hasRoom(budget); n++) {
      if (slots.isUnreadable(n)) {
        continue;
      }
      LogRecordBuilder record = newRecord.apply(n);
      if (!record.carryOver(slots.storedSequenceAt(n))) {
        continue;
      }
      if (!appendPending(record, forClearing) || record.includedTasks().isEmpty()) {
        return;
      }
      addLogRecord(record);
      count++;
    }
  }

  /** True if there was anything to say. */
  private boolean appendPending(LogRecordBuilder record, boolean forClearing) {
    boolean any = record.appendOversized(firstRecord - ProgressLogRecord.SLOTS + EARLY);
    any |= record.append(context.pending().changes());
    if (any || forClearing) {
      // Last, so that it takes no room from what is waited for.
      any |= record.append(context.pending().clearings());
    }
    return any;
  }

  private void addLogRecord(LogRecordBuilder record) {
    long n = record.sequence();
    int size = record.builder().bytes();
    conditions.add(new Condition(Keys.progressLog(n), context.slots().modRevisionAt(n)));
    changes.add(new Change.Put(Keys.progressLog(n), record.builder().value()));
    bytes += size + CHANGE_BYTES;
    largestValueBytes = Math.max(largestValueBytes, size);
    records.put(n, record.includedTasks());
    statuses.addAll(record.statuses());
    record.statuses().forEach(s -> context.pending().included(s.job(), s.tasks()));
    nextRecord = n + 1;
  }

  /** Of these tasks, those that this transaction does not say yet. */
  BitSet notYetIncluded(TaskShard c, BitSet tasks) {
    BitSet open = (BitSet) tasks.clone();
    if (snapshots.contains(c)) {
      open.clear();
    }
    records.values().forEach(r -> open.andNot(r.getOrDefault(c, NO_TASKS)));
    return open;
  }

  /** Writes whole what rests on records up to {@code upToRecord}, where it fits. */
  private void addSnapshots(long upToRecord, int most) {
    for (Map<TaskShard, BitSet> resting : context.slots().latestStatusUpTo(upToRecord).values()) {
      for (TaskShard c : resting.keySet()) {
        if (!hasRoom(most)) {
          return;
        }
        boolean wanted =
            !snapshots.contains(c) && !c.job().quarantined() && !c.job().isFullyStopped();
        if (wanted && !context.isTooLarge(c)) {
          addSnapshot(c);
        }
      }
    }
  }

  private void addSnapshot(TaskShard c) {
    BitSet tasks = new BitSet();
    tasks.set(c.firstTask(), c.endTask());
    TaskStatuses s = TaskStatuses.of(c.job(), tasks);
    // Covers what stands before this transaction's own records; those say the same again.
    JsonNode value = context.encoder().snapshot(s, firstRecord - 1);
    int size = Cbor.jsonSize(value);
    if (size > context.limits().valueBytes()) {
      context.snapshots().markTooLarge(c, context.scheduler().nowMs());
      return;
    }
    conditions.add(new Condition(c.key(), context.snapshots().modRevision(c)));
    changes.add(new Change.Put(c.key(), value));
    bytes += size + CHANGE_BYTES;
    largestValueBytes = Math.max(largestValueBytes, size);
    statuses.add(s);
    snapshots.add(c);
  }

  private void addSnapshotRemovals() {
    Iterator<TaskShard> it = context.pending().snapshotRemovals();
    while (it.hasNext()
        && changes.size() < budget
        && context.limits().roomForConditions(conditions.size())) {
      TaskShard c = it.next();
      if (context.pending().isToBeCleared(c.job())) {
        // Without it older records would say where tasks are that are proven gone.
        continue;
      }
      it.remove();
      conditions.add(new Condition(c.key(), context.snapshots().modRevision(c)));
      changes.add(new Change.Remove(c.key()));
      removedSnapshots.add(c);
      bytes += CHANGE_BYTES;
    }
  }

  StateStore.Transaction transaction() {
    return new StateStore.Transaction(conditions, changes);
  }

  boolean isEmpty() {
    return changes.isEmpty();
  }

  int changes() {
    return changes.size();
  }

  int bytes() {
    return bytes;
  }

  int largestValueBytes() {
    return largestValueBytes;
  }

  /** The log's last record before this transaction's own. */
  long coveredUpTo() {
    return firstRecord - 1;
  }

  List<TaskStatuses> statuses() {
    return statuses;
  }

  /** Jobs that it says to be done. */
  List<Job> completedJobs() {
    return completedJobs;
  }

  List<TaskShard> snapshots() {
    return snapshots;
  }

  /** Chunks whose checkpoint it removes. */
  List<TaskShard> removedSnapshots() {
    return removedSnapshots;
  }

  /** By its records: the tasks that they speak of. */
  Map<Long, Map<TaskShard, BitSet>> records() {
    return records;
  }

  /** For logs. */
  @Override
  public String toString() {
    return changes.size()
        + " changes, "
        + bytes
        + " bytes: "
        + records.size()
        + " logs, "
        + completedJobs.size()
        + " ends, "
        + snapshots.size()
        + " checkpoints";
  }
}
