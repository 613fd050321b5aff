package org.ploverspindle.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.ploverspindle.leadership.Term;
import org.ploverspindle.loop.Cancellable;
import org.ploverspindle.loop.Scheduler;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressLog;
import org.ploverspindle.state.ProgressRecord;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.TxnResult;
import org.ploverspindle.state.TokenBucket;
import org.ploverspindle.workers.Machine;
import org.ploverspindle.workers.Placement;
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
  private static final int MAX_TXN_BYTES = 56 * 1024;

  /** Whatever the store would take: several records should fit into one transaction. */
  private static final int MAX_VALUE_BYTES = 16 * 1024;

  /**
   * Records that speak of jobs not yet covered are rewritten this long before their slot's turn.
   */
  private static final int EARLY = ProgressLog.SLOTS / 4;

  /** As small as a refused write's values are made: a record of one task still fits. */
  private static final int LEAST_VALUE_BYTES = 512;

  /** The least that a placement takes in a checkpoint. */
  private static final int LEAST_LIVE_BYTES = 16;

  /** A chunk whose checkpoint does not fit is not tried again before. */
  private static final long LARGE_FOR_MS = 1_000;

  /** For so long the ends of cancelled jobs' placements wait for a record that goes out anyway. */
  static final long CLEAR_WAIT_MS = 5_000;

  /** What happens to the writer's outcome. */
  public interface Listener {
    /** These became durable: their orders may go out. */
    void durable(List<Placement> placements);

    void finished(Job job);

    void deposed(String cause);
  }

  private static final BitSet NO_TASKS = new BitSet();

  private record Chunk(Job job, int index) {
    String key() {
      return Keys.progress(job.uid(), index);
    }
  }

  /** What a transaction says of tasks, for when it is known to be durable. */
  private record Said(Job job, BitSet tasks, BitSet done, List<Placement> placements) {}

  private final Scheduler scheduler;
  private final StateStore store;
  private final Replica replica;
  private final TokenBucket writes;
  private int txnOps;
  private int valueBytes;
  private int txnBytes = MAX_TXN_BYTES;
  private final Term term;
  private final Function<Machine, ProgressRecord.Host> hostNames;
  private final Listener listener;
  private final Map<Chunk, Long> stamps = new HashMap<>();
  private final Map<Job, BitSet> durableDone = new HashMap<>();
  private final LinkedHashMap<Job, BitSet> dirty = new LinkedHashMap<>();

  /** Tasks of cancelled jobs that are gone, while a record may yet say where they are. */
  private final LinkedHashMap<Job, BitSet> toClear = new LinkedHashMap<>();

  /** Cancelled jobs of which placements may have ended since {@link #toClear} was looked at. */
  private final LinkedHashSet<Job> endedOf = new LinkedHashSet<>();

  /** Tasks that the newest statement, also an unanswered one, may say to be on a machine. */
  private final Map<Job, BitSet> recordedLive = new HashMap<>();

  /** By the log's record: the jobs that it speaks of, or would if its unanswered write stood. */
  private final TreeMap<Long, Set<String>> mentions = new TreeMap<>();

  private final LinkedHashMap<String, Job> ending = new LinkedHashMap<>();
  private final LinkedHashSet<Chunk> removable = new LinkedHashSet<>();

  /** By the log's record: chunks with tasks whose newest statement is there, and which. */
  private final TreeMap<Long, Map<Chunk, BitSet>> resting = new TreeMap<>();

  /** The records in {@link #resting} that speak of the chunk. */
  private final Map<Chunk, TreeSet<Long>> restingOn = new HashMap<>();

  /** Until when a chunk is taken to be too large for a checkpoint. */
  private final Map<Chunk, Long> largeUntilMs = new HashMap<>();

  private final long[] slotStamps = new long[ProgressLog.SLOTS];

  /** The number of the record that stands in each slot, or 0. */
  private final long[] standing = new long[ProgressLog.SLOTS];

  /** Slots whose record can't be read: it stays, as a later leader must see it too. */
  private final BitSet damaged = new BitSet();

  private long next;
  private long tries;
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
      Function<Machine, ProgressRecord.Host> hostNames,
      Listener listener) {
    this.scheduler = scheduler;
    this.store = store;
    this.replica = replica;
    this.writes = writes;
    this.txnOps = txnOps;
    this.valueBytes = Math.min(valueBytes, MAX_VALUE_BYTES);
    this.term = term;
    this.hostNames = hostNames;
    this.listener = listener;
    this.next = 1;
  }

  public void close() {
    closed = true;
  }

  // ---- taking over

  /** A record of the log stands in its slot. */
  public void loadedSlot(Entry entry, long n) {
    slotStamps[ProgressLog.slot(n)] = entry.stamp();
    standing[ProgressLog.slot(n)] = n;
    next = Math.max(next, n + 1);
  }

  /** What stands under this key of the log can't be read. */
  public void loadedDamaged(String key) {
    for (int slot = 0; slot < ProgressLog.SLOTS; slot++) {
      if (Keys.log(slot).equals(key)) {
        damaged.set(slot);
      }
    }
  }

  /** A checkpoint that an earlier leader wrote. */
  public void loadedCheckpoint(Job job, int chunk, long stamp) {
    stamps.put(new Chunk(job, chunk), stamp);
  }

  /** Record {@code n} speaks of these tasks, and no checkpoint covers it. */
  public void loadedUncovered(Job job, BitSet tasks, long n) {
    chunksOf(job, tasks).forEach((c, some) -> spoken(c, some, n));
  }

  public void loadedDone(Job job, BitSet done) {
    durableDone.put(job, (BitSet) done.clone());
  }

  /** Record {@code n} speaks of the job, be it covered or not. */
  public void loadedMention(Job job, long n) {
    mentions.computeIfAbsent(n, x -> new HashSet<>()).add(job.uid());
  }

  /** These tasks are on machines by the records. */
  public void loadedLive(Job job, Set<Integer> tasks) {
    BitSet live = new BitSet();
    tasks.forEach(live::set);
    recordedLive.put(job, live);
  }

  public boolean isDurablyDone(Job job, int task) {
    if (job.finished()) {
      return true;
    }
    BitSet done = durableDone.get(job);
    return done != null && done.get(task);
  }

  // ---- what is to be written

  /** The task's progress changed. */
  public void changed(Job job, int task) {
    // A job is not done before what it awaits is: it might still be aborted with that. And while an
    // attempt of a done task may still be somewhere, it is recorded: it takes its room.
    if (job.allDone() && job.live().isEmpty() && !job.cancelled() && !job.awaiting()) {
      ending.putIfAbsent(job.uid(), job);
    } else {
      dirty.computeIfAbsent(job, j -> new BitSet()).set(task);
    }
    plan(8);
  }

  /**
   * Placements of a cancelled job may have ended: those that a record speaks of are to be cleared.
   * Call it after their proof alone.
   */
  public void cancelledTasksEnded(Job job) {
    if (job.blocked()) {
      // What can't be read may speak of any task: its records stay as they are.
      return;
    }
    if (toClear.isEmpty() && endedOf.isEmpty()) {
      clearDueMs = scheduler.nowMs() + CLEAR_WAIT_MS;
    }
    endedOf.add(job);
    planClearing();
  }

  /** Once for all that ended of a job since the last flush: large jobs end task by task. */
  private void findWhatToClear() {
    for (Job job : endedOf) {
      BitSet gone = (BitSet) recordedLive.getOrDefault(job, NO_TASKS).clone();
      job.live().forEach(p -> gone.clear(p.task()));
      if (isGone(job)) {
        gone.or(uncoveredByRemoval(job));
      }
      if (!gone.isEmpty()) {
        toClear.computeIfAbsent(job, j -> new BitSet()).or(gone);
      }
    }
    endedOf.clear();
  }

  /** A checkpoint hides older records, which would count again once it is removed. */
  private BitSet uncoveredByRemoval(Job job) {
    BitSet tasks = new BitSet();
    if (mentions.values().stream().anyMatch(m -> m.contains(job.uid()))) {
      for (int i = 0; i < job.chunks(); i++) {
        if (stamps.getOrDefault(new Chunk(job, i), 0L) != 0) {
          tasks.set(i * job.chunkSize(), Math.min(job.spec().tasks(), (i + 1) * job.chunkSize()));
        }
      }
    }
    return tasks;
  }

  private void planClearing() {
    if (!toClear.isEmpty() || !endedOf.isEmpty()) {
      plan(Math.max(0, clearDueMs - scheduler.nowMs()));
    }
  }

  /** Cancelled, and proven to be nowhere. */
  private static boolean isGone(Job job) {
    return job.cancelled() && !job.finished() && job.live().isEmpty();
  }

  /**
   * The job is over and none of its tasks is anywhere. Nobody reads the progress of a finished job;
   * of a cancelled one that is gone only what would be read otherwise is still said.
   */
  public void over(Job job) {
    dirty.remove(job);
    durableDone.remove(job);
    boolean readAgain = isGone(job) && !job.blocked();
    if (readAgain) {
      cancelledTasksEnded(job);
    } else {
      endedOf.remove(job);
      toClear.remove(job);
      recordedLive.remove(job);
    }
    for (int i = 0; i < job.chunks(); i++) {
      Chunk c = new Chunk(job, i);
      if (!readAgain) {
        covered(c, Long.MAX_VALUE);
      }
      largeUntilMs.remove(c);
      if (stamps.getOrDefault(c, 0L) != 0) {
        removable.add(c);
      }
    }
    if (!removable.isEmpty()) {
      plan(1_000);
    }
  }

  /** Since when no write has been carried out although some were tried, or -1. */
  public long failingSinceMs() {
    return failingSinceMs;
  }

  /** How much waits to be written. */
  public int backlog() {
    return dirty.size() + ending.size() + toClear.size();
  }

  private static Map<Chunk, BitSet> chunksOf(Job job, BitSet tasks) {
    Map<Chunk, BitSet> chunks = new LinkedHashMap<>();
    for (int t = tasks.nextSetBit(0); t >= 0; t = tasks.nextSetBit(t + 1)) {
      chunks.computeIfAbsent(new Chunk(job, job.chunkOf(t)), c -> new BitSet()).set(t);
    }
    return chunks;
  }

  /** The tasks' statements move on to record {@code n}, unless newer ones stand. */
  private void spoken(Chunk c, BitSet tasks, long n) {
    BitSet newest = (BitSet) tasks.clone();
    for (Long at : List.copyOf(restingOn.getOrDefault(c, new TreeSet<>()))) {
      BitSet there = resting.get(at).get(c);
      if (at > n) {
        newest.andNot(there);
      } else if (at < n) {
        there.andNot(tasks);
        if (there.isEmpty()) {
          drop(c, at);
        }
      }
    }
    if (!newest.isEmpty()) {
      resting
          .computeIfAbsent(n, x -> new LinkedHashMap<>())
          .computeIfAbsent(c, x -> new BitSet())
          .or(newest);
      restingOn.computeIfAbsent(c, x -> new TreeSet<>()).add(n);
    }
  }

  private void drop(Chunk c, long n) {
    Map<Chunk, BitSet> there = resting.get(n);
    there.remove(c);
    if (there.isEmpty()) {
      resting.remove(n);
    }
    TreeSet<Long> on = restingOn.get(c);
    on.remove(n);
    if (on.isEmpty()) {
      restingOn.remove(c);
    }
  }

  /** No record up to {@code upTo} is needed for the chunk any more. */
  private void covered(Chunk c, long upTo) {
    for (Long n : List.copyOf(restingOn.getOrDefault(c, new TreeSet<>()).headSet(upTo, true))) {
      drop(c, n);
    }
  }

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
    boolean othersWait = !dirty.isEmpty() || !ending.isEmpty() || !removable.isEmpty();
    if (!othersWait && scheduler.nowMs() < clearDueMs) {
      planClearing();
      return;
    }
    findWhatToClear();
    boolean clearingIsDue = !toClear.isEmpty() && scheduler.nowMs() >= clearDueMs;
    if (!othersWait && !clearingIsDue) {
      return;
    }
    dirty.values().removeIf(BitSet::isEmpty);
    int budget = (int) Math.min(txnOps, Math.floor(writes.available()));
    if (budget < 1) {
      plan(40);
      return;
    }
    // Removed checkpoints may uncover what has to be cleared, in the same transaction at the
    // latest.
    Batch batch = new Batch(budget, clearingIsDue || !removable.isEmpty());
    batch.fill();
    if (batch.changes.isEmpty()) {
      plan(100);
      return;
    }
    sending(batch);
    busy = true;
    writes.take(batch.changes.size());
    long sentMs = scheduler.nowMs();
    LOG.debug(
        "writing {} changes, {} bytes: {} logs, {} ends, {} checkpoints; {} left",
        batch.changes.size(),
        batch.bytes,
        batch.spokenOf.size(),
        batch.ended.size(),
        batch.checkpoints.size(),
        dirty.size());
    store.txn(
        new StateStore.Txn(batch.conditions, batch.changes),
        r -> {
          LOG.debug("written after {} ms", scheduler.nowMs() - sentMs);
          answered(batch, r);
        });
  }

  /** From now on the transaction may stand, whether an answer tells of it or not. */
  private void sending(Batch batch) {
    batch.spokenOf.forEach((n, chunks) -> chunks.keySet().forEach(c -> loadedMention(c.job(), n)));
    for (Said s : batch.said) {
      BitSet live = recordedLive.computeIfAbsent(s.job(), j -> new BitSet());
      s.placements().forEach(p -> live.set(p.task()));
    }
  }

  /** One transaction in the making. */
  private final class Batch {
    private final int budget;
    private final List<Condition> conditions = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Said> said = new ArrayList<>();
    private final List<Job> ended = new ArrayList<>();
    private final List<Chunk> checkpoints = new ArrayList<>();
    private final List<Chunk> removed = new ArrayList<>();
    private final Map<Long, Map<Chunk, BitSet>> spokenOf = new LinkedHashMap<>();
    private final long firstN = next;
    private int bytes = 300;
    private int largest;
    private final boolean clears;
    private long logN = firstN;

    /**
     * @param clears whether a record goes out for what is to be cleared alone
     */
    Batch(int budget, boolean clears) {
      this.budget = budget;
      this.clears = clears;
      conditions.add(new Condition(Keys.LEADER, term.leaderStamp()));
    }

    void fill() {
      // What waits to start waits for its record; users may learn of an end a little later.
      boolean endsFirst = dirty.isEmpty() || endsWaited || budget > 1;
      if (endsFirst) {
        ends(Math.max(1, budget - 1));
      }
      checkpoint(firstN - ProgressLog.SLOTS, budget);
      log(false);
      ends(budget);
      endsWaited = !ending.isEmpty();
      if (clears) {
        log(true);
      }
      checkpoint(next - ProgressLog.SLOTS + EARLY, Math.min(budget, changes.size() + 2));
      removals();
    }

    private boolean room(int most) {
      return changes.size() < most
          && conditions.size() + 2 <= txnOps * 4
          && (changes.isEmpty() || bytes < txnBytes - valueBytes);
    }

    private void ends(int most) {
      for (Iterator<Job> it = ending.values().iterator(); it.hasNext() && room(most); ) {
        Job job = it.next();
        it.remove();
        if (job.cancelled() || job.finished()) {
          continue;
        }
        // Cancelled and done exclude each other: each is written only if the other is absent.
        conditions.add(new Condition(Keys.cancel(job.uid()), 0));
        conditions.add(new Condition(Keys.done(job.uid()), 0));
        changes.add(
            new Change.Put(Keys.done(job.uid()), Cbor.map().put("tasks", job.spec().tasks())));
        bytes += 250;
        ended.add(job);
      }
    }

    /**
     * Fills record after record. Whose slot can't be had yet is passed over.
     *
     * @param forClearing whether also for what is to be cleared alone
     */
    private void log(boolean forClearing) {
      int records = 0;
      for (long n = logN;
          n < firstN + ProgressLog.SLOTS && records < EARLY / 2 && room(budget);
          n++) {
        if (damaged.get(ProgressLog.slot(n))) {
          continue;
        }
        LogRecord record = new LogRecord(n);
        if (!record.takesOver(standing[ProgressLog.slot(n)])) {
          continue;
        }
        boolean more = record.moveOn() | record.news();
        if (more || forClearing) {
          // Last, so that it takes no room from what is waited for.
          more |= record.clear();
        }
        if (!more || record.tasksSaid.isEmpty()) {
          return;
        }
        record.put();
        logN = n + 1;
        records++;
      }
    }

    /** One record in the making; nothing of it counts before it is put. */
    private final class LogRecord {
      private final long n;
      private final ProgressLog.Builder builder;
      private final Map<Chunk, BitSet> tasksSaid = new LinkedHashMap<>();
      private final List<Said> saidHere = new ArrayList<>();

      LogRecord(long n) {
        this.n = n;
        this.builder = new ProgressLog.Builder(n, term.token() + "." + ++tries, valueBytes - 100);
      }

      /** Says all that rests on the record it replaces; false if that can't be. */
      boolean takesOver(long old) {
        for (Map.Entry<Chunk, BitSet> e : resting.getOrDefault(old, Map.of()).entrySet()) {
          if (isGone(e.getKey().job()) && !isNeeded(e.getKey(), old)) {
            continue;
          }
          BitSet open = open(e.getKey(), e.getValue());
          if (!open.isEmpty() && (e.getKey().job().blocked() || !say(e.getKey().job(), open))) {
            return false;
          }
        }
        return true;
      }

      /** Does anything older speak of the chunk, so that it would count without the record? */
      private boolean isNeeded(Chunk c, long record) {
        return !c.job().blocked()
            && (stamps.getOrDefault(c, 0L) != 0
                || mentions.headMap(record).values().stream()
                    .anyMatch(m -> m.contains(c.job().uid())));
      }

      /** Of these tasks, those that this transaction does not say yet. */
      private BitSet open(Chunk c, BitSet tasks) {
        BitSet open = (BitSet) tasks.clone();
        if (checkpoints.contains(c)) {
          open.clear();
        }
        spokenOf.values().forEach(r -> open.andNot(r.getOrDefault(c, NO_TASKS)));
        open.andNot(tasksSaid.getOrDefault(c, NO_TASKS));
        return open;
      }

      /** Says what rests on old records and fits in no checkpoint; true if there was any. */
      boolean moveOn() {
        boolean any = false;
        long upTo = firstN - ProgressLog.SLOTS + EARLY;
        for (Map.Entry<Long, Map<Chunk, BitSet>> r : resting.headMap(upTo, true).entrySet()) {
          for (Map.Entry<Chunk, BitSet> e : r.getValue().entrySet()) {
            Chunk c = e.getKey();
            if (!c.job().blocked() && !isGone(c.job()) && isLarge(c)) {
              BitSet open = open(c, e.getValue());
              any |= !open.isEmpty();
              if (!say(c.job(), open)) {
                return true;
              }
            }
          }
        }
        return any;
      }

      /** Says what changed; true if there was any. */
      boolean news() {
        boolean any = false;
        for (Iterator<Map.Entry<Job, BitSet>> it = dirty.entrySet().iterator(); it.hasNext(); ) {
          Map.Entry<Job, BitSet> e = it.next();
          Job job = e.getKey();
          if (job.blocked() || job.finished()) {
            it.remove();
            continue;
          }
          BitSet open = (BitSet) e.getValue().clone();
          chunksOf(job, open)
              .keySet()
              .forEach(c -> open.andNot(tasksSaid.getOrDefault(c, NO_TASKS)));
          any |= !open.isEmpty();
          if (!say(job, open)) {
            return true;
          }
        }
        return any;
      }

      /** Says which placements of cancelled jobs are gone; true if there was any. */
      boolean clear() {
        boolean any = false;
        for (Map.Entry<Job, BitSet> e : toClear.entrySet()) {
          BitSet open = (BitSet) e.getValue().clone();
          chunksOf(e.getKey(), open)
              .keySet()
              .forEach(c -> open.andNot(tasksSaid.getOrDefault(c, NO_TASKS)));
          any |= !open.isEmpty();
          if (!say(e.getKey(), open)) {
            return true;
          }
        }
        return any;
      }

      /** Says as many of the tasks as fit; true if all did. */
      private boolean say(Job job, BitSet open) {
        int sure = ProgressLog.Builder.tasksThatFit(valueBytes);
        int group = Math.max(sure, valueBytes / 16);
        while (!open.isEmpty()) {
          BitSet tasks = firstOf(open, group);
          Said s = new Said(job, tasks, new BitSet(), new ArrayList<>());
          if (builder.add(delta(s))) {
            open.andNot(tasks);
            saidHere.add(s);
            chunksOf(job, tasks)
                .forEach((c, some) -> tasksSaid.computeIfAbsent(c, x -> new BitSet()).or(some));
          } else if (group == 1) {
            return false;
          } else {
            group = Math.max(1, Math.min(group, tasks.cardinality()) / 2);
          }
        }
        return true;
      }

      void put() {
        JsonNode value = builder.value();
        conditions.add(new Condition(Keys.log(n), slotStamps[ProgressLog.slot(n)]));
        changes.add(new Change.Put(Keys.log(n), value));
        bytes += builder.bytes() + 150;
        largest = Math.max(largest, builder.bytes());
        spokenOf.put(n, tasksSaid);
        said.addAll(saidHere);
        for (Said s : saidHere) {
          removeTasks(dirty, s);
          removeTasks(toClear, s);
        }
      }

      private void removeTasks(Map<Job, BitSet> from, Said s) {
        BitSet left = from.get(s.job());
        if (left != null) {
          left.andNot(s.tasks());
          if (left.isEmpty()) {
            from.remove(s.job());
          }
        }
      }
    }

    private ProgressLog.Delta delta(Said s) {
      BitSet cleared = new BitSet();
      List<ProgressRecord.Live> live = new ArrayList<>();
      Job job = s.job();
      for (int t = s.tasks().nextSetBit(0); t >= 0; t = s.tasks().nextSetBit(t + 1)) {
        Placement p = job.liveAt(t);
        if (job.done().get(t)) {
          s.done().set(t);
        } else if (p == null) {
          cleared.set(t);
        }
        if (p != null) {
          s.placements().add(p);
          live.add(live(p));
        }
      }
      return new ProgressLog.Delta(
          job.uid(), job.done().cardinality(), job.live().size(), s.done(), cleared, live);
    }

    private ProgressRecord.Live live(Placement p) {
      return new ProgressRecord.Live(
          p.task(), p.attempt(), hostNames.apply(p.machine()), p.tenure());
    }

    /** Writes whole what rests on records up to {@code upToRecord}, where it fits. */
    private void checkpoint(long upToRecord, int most) {
      for (Map<Chunk, BitSet> r : resting.headMap(upToRecord, true).values()) {
        for (Chunk c : r.keySet()) {
          if (!room(most)) {
            return;
          }
          if (!checkpoints.contains(c) && !c.job().blocked() && !isGone(c.job()) && !isLarge(c)) {
            addCheckpoint(c);
          }
        }
      }
    }

    private void addCheckpoint(Chunk c) {
      Job job = c.job();
      int from = c.index() * job.chunkSize();
      int to = Math.min(job.spec().tasks(), from + job.chunkSize());
      Said s = new Said(job, new BitSet(), new BitSet(), new ArrayList<>());
      List<ProgressRecord.Live> live = new ArrayList<>();
      s.tasks().set(from, to);
      for (int task = from; task < to; task++) {
        Placement p = job.liveAt(task);
        if (job.done().get(task)) {
          s.done().set(task);
        }
        if (p != null) {
          s.placements().add(p);
          live.add(live(p));
        }
      }
      // Covers what stands before this transaction's own records; those say the same again.
      JsonNode value =
          new ProgressRecord(s.done(), live, live.size(), firstN - 1)
              .encode(job.done().cardinality(), job.live().size());
      int size = Cbor.jsonSize(value);
      if (size > valueBytes) {
        largeUntilMs.put(c, scheduler.nowMs() + LARGE_FOR_MS);
        return;
      }
      conditions.add(new Condition(c.key(), stamps.getOrDefault(c, 0L)));
      changes.add(new Change.Put(c.key(), value));
      bytes += size + 150;
      largest = Math.max(largest, size);
      said.add(s);
      checkpoints.add(c);
    }

    private void removals() {
      for (Iterator<Chunk> it = removable.iterator();
          it.hasNext() && changes.size() < budget && conditions.size() + 2 <= txnOps * 4; ) {
        Chunk c = it.next();
        if (toClear.containsKey(c.job())) {
          // Without it older records would say where tasks are that are proven gone.
          continue;
        }
        it.remove();
        conditions.add(new Condition(c.key(), stamps.getOrDefault(c, 0L)));
        changes.add(new Change.Remove(c.key()));
        removed.add(c);
        bytes += 150;
      }
    }
  }

  /** Does its checkpoint not fit into a value, as far as is known? */
  private boolean isLarge(Chunk c) {
    Job job = c.job();
    int live = 0;
    int from = c.index() * job.chunkSize();
    if (largeUntilMs.getOrDefault(c, Long.MIN_VALUE) > scheduler.nowMs()) {
      return true;
    }
    if (job.chunkSize() * LEAST_LIVE_BYTES <= valueBytes) {
      return false;
    }
    for (int t = from; t < Math.min(job.spec().tasks(), from + job.chunkSize()); t++) {
      live += job.liveAt(t) == null ? 0 : 1;
    }
    return live * LEAST_LIVE_BYTES > valueBytes;
  }

  private static BitSet firstOf(BitSet tasks, int most) {
    BitSet first = new BitSet();
    int n = 0;
    for (int t = tasks.nextSetBit(0); t >= 0 && n < most; t = tasks.nextSetBit(t + 1)) {
      first.set(t);
      n++;
    }
    return first;
  }

  private void answered(Batch batch, TxnResult result) {
    busy = false;
    if (closed) {
      return;
    }
    if (result instanceof TxnResult.Committed committed) {
      failures = 0;
      failingSinceMs = -1;
      committed(batch, committed.ledger());
      plan(8);
      return;
    }
    failures++;
    again(batch);
    boolean tooMany = result instanceof TxnResult.Refused r && r.status() == 429;
    if (failingSinceMs < 0 && !tooMany && !(result instanceof TxnResult.Conflict)) {
      failingSinceMs = scheduler.nowMs();
    }
    if (result instanceof TxnResult.Refused refused) {
      if (refused.status() == 400) {
        LOG.error(
            "the state service takes no write of {} conditions, {} changes, about {} bytes, {} in"
                + " the largest value: the next ones are smaller",
            batch.conditions.size(),
            batch.changes.size(),
            batch.bytes,
            batch.largest);
        shrink(batch);
      }
      plan(Math.min(1_000, 60L << Math.min(4, failures)));
      return;
    }
    if (result instanceof TxnResult.Unknown) {
      // It may yet stand: what is written after it has higher numbers, and so is what counts.
      batch.spokenOf.keySet().forEach(n -> next = Math.max(next, n + 1));
    }
    // Unknown or conflict: only reading back tells what stands there now.
    busy = true;
    replica.barrier(
        ok -> {
          busy = false;
          if (closed) {
            return;
          }
          if (ok) {
            readBack(batch, result);
          }
          plan(ok ? 10 : 300);
        });
  }

  /**
   * A write as large as this is not tried again: what the service does not take now it never takes.
   * The lower bounds stay for the term, as nobody tells when more would be taken.
   */
  private void shrink(Batch batch) {
    txnOps = Math.max(1, Math.min(txnOps, batch.changes.size()) / 2);
    valueBytes =
        batch.largest <= LEAST_VALUE_BYTES
            ? valueBytes
            : Math.max(LEAST_VALUE_BYTES, Math.min(valueBytes, batch.largest) / 2);
    txnBytes = Math.max(2 * LEAST_VALUE_BYTES, Math.min(txnBytes, batch.bytes) / 2);
  }

  /** Whatever the transaction said is to be written again, as it will be then. */
  private void again(Batch batch) {
    for (Said s : batch.said) {
      if (isGone(s.job())) {
        cancelledTasksEnded(s.job());
      } else if (!s.job().over() || !s.job().live().isEmpty()) {
        dirty.computeIfAbsent(s.job(), j -> new BitSet()).or(s.tasks());
      }
    }
    batch.ended.forEach(j -> ending.putIfAbsent(j.uid(), j));
    removable.addAll(batch.removed);
  }

  private void readBack(Batch batch, TxnResult result) {
    boolean ours = replica.get(Keys.LEADER).map(e -> e.stamp() == term.leaderStamp()).orElse(false);
    if (!ours) {
      listener.deposed("the leader key changed under a write");
      return;
    }
    LOG.debug("a write was read back after {}", result);
    for (Chunk c : batch.checkpoints) {
      stamps.put(c, replica.get(c.key()).map(Entry::stamp).orElse(0L));
    }
    for (Chunk c : batch.removed) {
      stamps.put(c, replica.get(c.key()).map(Entry::stamp).orElse(0L));
    }
    removable.removeIf(c -> stamps.getOrDefault(c, 0L) == 0);
    for (Job job : batch.ended) {
      if (replica.get(Keys.done(job.uid())).isPresent()) {
        finish(job);
      }
    }
    // A record of an earlier try, executed late, may stand in a slot. What it said is written again
    // by the next; only its place in the log is taken.
    replica.under(Keys.LOG).values().forEach(this::taken);
  }

  /** If a record of an unanswered write stands, what it speaks of rests on it. */
  private void taken(Entry e) {
    Optional<ProgressLog> record = ProgressLog.decode(e.value());
    long n = record.map(ProgressLog::n).orElse(-1L);
    int slot = ProgressLog.slot(Math.max(0, n));
    if (n < 0 || !Keys.log(n).equals(e.key()) || slotStamps[slot] == e.stamp()) {
      return;
    }
    for (ProgressLog.Delta d : record.get().deltas()) {
      mentions.computeIfAbsent(n, x -> new HashSet<>()).add(d.uid());
      Job job = jobOf(d.uid());
      if (job != null) {
        BitSet tasks = (BitSet) d.done().clone();
        tasks.or(d.cleared());
        d.live().forEach(l -> tasks.set(l.task()));
        loadedUncovered(job, tasks, n);
      }
    }
    replaced(n);
    loadedSlot(e, n);
  }

  /** Record {@code n} stands in its slot: what stood there before says nothing any more. */
  private void replaced(long n) {
    int slot = ProgressLog.slot(n);
    mentions.headMap(n).keySet().removeIf(old -> ProgressLog.slot(old) == slot);
    long old = standing[slot];
    if (old < n) {
      List.copyOf(resting.getOrDefault(old, Map.of()).keySet()).stream()
          .filter(c -> isGone(c.job()))
          .forEach(c -> drop(c, old));
    }
  }

  private Job jobOf(String uid) {
    for (Job job : dirty.keySet()) {
      if (job.uid().equals(uid)) {
        return job;
      }
    }
    for (Chunk c : restingOn.keySet()) {
      if (c.job().uid().equals(uid)) {
        return c.job();
      }
    }
    for (Job job : recordedLive.keySet()) {
      if (job.uid().equals(uid)) {
        return job;
      }
    }
    return null;
  }

  private void committed(Batch batch, long ledger) {
    batch.checkpoints.forEach(
        c -> {
          stamps.put(c, ledger);
          covered(c, batch.firstN - 1);
        });
    batch.spokenOf.forEach(
        (n, chunks) -> {
          chunks.forEach(
              (c, tasks) -> {
                if (!c.job().finished()) {
                  spoken(c, tasks, n);
                }
              });
          replaced(n);
          slotStamps[ProgressLog.slot(n)] = ledger;
          standing[ProgressLog.slot(n)] = n;
          next = Math.max(next, n + 1);
        });
    List<Placement> durable = new ArrayList<>();
    for (Said s : batch.said) {
      if (!s.job().over()) {
        durableDone.computeIfAbsent(s.job(), j -> new BitSet()).or(s.done());
      }
      BitSet live = recordedLive.get(s.job());
      if (live != null) {
        live.andNot(s.tasks());
        s.placements().forEach(p -> live.set(p.task()));
        if (live.isEmpty()) {
          recordedLive.remove(s.job());
        }
      }
      for (Placement p : s.placements()) {
        p.recorded(scheduler.nowMs());
        durable.add(p);
      }
    }
    for (Chunk c : batch.removed) {
      stamps.remove(c);
    }
    batch.ended.forEach(this::finish);
    listener.durable(durable);
  }

  private void finish(Job job) {
    ending.remove(job.uid());
    if (!job.finished()) {
      job.finish();
      over(job);
      listener.finished(job);
    }
  }
}
