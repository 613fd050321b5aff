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

  private final WriteBatchContext sources;
  private final LongFunction<LogRecordBuilder> newRecord;
  private final int budget;
  private final long firstRecord;
  private final List<Condition> conditions = new ArrayList<>();
  private final List<Change> changes = new ArrayList<>();
  private final List<TaskStatuses> statements = new ArrayList<>();
  private final List<Job> ended = new ArrayList<>();
  private final List<TaskShard> checkpoints = new ArrayList<>();
  private final List<TaskShard> removed = new ArrayList<>();
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
    this.sources = sources;
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
    boolean endsFirst = !sources.pending().hasChanges() || endsWaited || budget > 1;
    if (endsFirst) {
      ends(Math.max(1, budget - 1));
    }
    checkpoint(firstRecord - ProgressLogRecord.SLOTS, budget);
    log(false);
    ends(budget);
    if (clears) {
      log(true);
    }
    checkpoint(
        firstRecord - ProgressLogRecord.SLOTS + EARLY,
        Math.min(budget, changes.size() + EARLY_CHECKPOINTS));
    removals();
  }

  private boolean room(int most) {
    return changes.size() < most
        && sources.limits().roomForConditions(conditions.size())
        && (changes.isEmpty() || sources.limits().roomForValue(bytes));
  }

  private void ends(int most) {
    for (Iterator<Job> it = sources.pending().endings(); it.hasNext() && room(most); ) {
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
      ended.add(job);
    }
  }

  /**
   * Fills record after record. Whose slot can't be had yet is passed over.
   *
   * @param forClearing whether also for what is to be cleared alone
   */
  private void log(boolean forClearing) {
    ProgressLogSlots slots = sources.slots();
    long end = firstRecord + ProgressLogRecord.SLOTS;
    int count = 0;
    for (long n = nextRecord; n < end && count < MOST_RECORDS && room(budget); n++) {
      if (slots.isDamaged(n)) {
        continue;
      }
      LogRecordBuilder record = newRecord.apply(n);
      if (!record.takesOver(slots.standingAt(n))) {
        continue;
      }
      if (!sayPending(record, forClearing) || record.tasksSaid().isEmpty()) {
        return;
      }
      put(record);
      count++;
    }
  }

  /** True if there was anything to say. */
  private boolean sayPending(LogRecordBuilder record, boolean forClearing) {
    boolean any = record.moveOn(firstRecord - ProgressLogRecord.SLOTS + EARLY);
    any |= record.sayOf(sources.pending().changes());
    if (any || forClearing) {
      // Last, so that it takes no room from what is waited for.
      any |= record.sayOf(sources.pending().clearings());
    }
    return any;
  }

  private void put(LogRecordBuilder record) {
    long n = record.n();
    int size = record.builder().bytes();
    conditions.add(new Condition(Keys.progressLog(n), sources.slots().stampAt(n)));
    changes.add(new Change.Put(Keys.progressLog(n), record.builder().value()));
    bytes += size + CHANGE_BYTES;
    largestValueBytes = Math.max(largestValueBytes, size);
    records.put(n, record.tasksSaid());
    statements.addAll(record.statements());
    record.statements().forEach(s -> sources.pending().said(s.job(), s.tasks()));
    nextRecord = n + 1;
  }

  /** Of these tasks, those that this transaction does not say yet. */
  BitSet unsaid(TaskShard c, BitSet tasks) {
    BitSet open = (BitSet) tasks.clone();
    if (checkpoints.contains(c)) {
      open.clear();
    }
    records.values().forEach(r -> open.andNot(r.getOrDefault(c, NO_TASKS)));
    return open;
  }

  /** Writes whole what rests on records up to {@code upToRecord}, where it fits. */
  private void checkpoint(long upToRecord, int most) {
    for (Map<TaskShard, BitSet> resting : sources.slots().restingUpTo(upToRecord).values()) {
      for (TaskShard c : resting.keySet()) {
        if (!room(most)) {
          return;
        }
        boolean wanted =
            !checkpoints.contains(c) && !c.job().quarantined() && !c.job().isFullyStopped();
        if (wanted && !sources.isLarge(c)) {
          addCheckpoint(c);
        }
      }
    }
  }

  private void addCheckpoint(TaskShard c) {
    BitSet tasks = new BitSet();
    tasks.set(c.firstTask(), c.endTask());
    TaskStatuses s = TaskStatuses.of(c.job(), tasks);
    // Covers what stands before this transaction's own records; those say the same again.
    JsonNode value = sources.encoder().checkpoint(s, firstRecord - 1);
    int size = Cbor.jsonSize(value);
    if (size > sources.limits().valueBytes()) {
      sources.checkpoints().tooLarge(c, sources.scheduler().nowMs());
      return;
    }
    conditions.add(new Condition(c.key(), sources.checkpoints().stamp(c)));
    changes.add(new Change.Put(c.key(), value));
    bytes += size + CHANGE_BYTES;
    largestValueBytes = Math.max(largestValueBytes, size);
    statements.add(s);
    checkpoints.add(c);
  }

  private void removals() {
    Iterator<TaskShard> it = sources.pending().removals();
    while (it.hasNext()
        && changes.size() < budget
        && sources.limits().roomForConditions(conditions.size())) {
      TaskShard c = it.next();
      if (sources.pending().isToBeCleared(c.job())) {
        // Without it older records would say where tasks are that are proven gone.
        continue;
      }
      it.remove();
      conditions.add(new Condition(c.key(), sources.checkpoints().stamp(c)));
      changes.add(new Change.Remove(c.key()));
      removed.add(c);
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

  List<TaskStatuses> statements() {
    return statements;
  }

  /** Jobs that it says to be done. */
  List<Job> ended() {
    return ended;
  }

  List<TaskShard> checkpoints() {
    return checkpoints;
  }

  /** Chunks whose checkpoint it removes. */
  List<TaskShard> removed() {
    return removed;
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
        + ended.size()
        + " ends, "
        + checkpoints.size()
        + " checkpoints";
  }
}
