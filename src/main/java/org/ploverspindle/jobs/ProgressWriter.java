package org.ploverspindle.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
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
 * a log with a fixed number of slots; before a slot is used again, each job that its old record
 * speaks of has been written whole into a checkpoint, or is over.
 *
 * <p>Each write is bound to the leader key's version, so that a deposed leader's writes fail, and
 * to the version of every key it replaces, so that an unanswered write that is executed late can't
 * undo a later one: the next try goes to the same slots.
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

  /** What happens to the writer's outcome. */
  public interface Listener {
    /** These became durable: their orders may go out. */
    void durable(List<Placement> placements);

    void finished(Job job);

    void deposed(String cause);
  }

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
  private final int txnOps;
  private final int valueBytes;
  private final Term term;
  private final Function<Machine, ProgressRecord.Host> hostNames;
  private final Listener listener;
  private final Map<Chunk, Long> stamps = new HashMap<>();
  private final Map<Job, BitSet> durableDone = new HashMap<>();
  private final LinkedHashMap<Job, BitSet> dirty = new LinkedHashMap<>();
  private final LinkedHashMap<String, Job> ending = new LinkedHashMap<>();
  private final LinkedHashSet<Chunk> removable = new LinkedHashSet<>();

  /** By the log's record: chunks that it is the oldest to speak of since their checkpoint. */
  private final TreeMap<Long, Set<Chunk>> uncovered = new TreeMap<>();

  private final Map<Chunk, Long> oldest = new HashMap<>();
  private final long[] slotStamps = new long[ProgressLog.SLOTS];
  private long next;
  private long tries;
  private boolean busy;
  private Optional<Cancellable> planned = Optional.empty();
  private long plannedMs;
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

  /** A record of the log, readable or not, stands in its slot. */
  public void loadedSlot(Entry entry, long n) {
    slotStamps[ProgressLog.slot(n)] = entry.stamp();
    next = Math.max(next, n + 1);
  }

  /** A checkpoint that an earlier leader wrote. */
  public void loadedCheckpoint(Job job, int chunk, long stamp) {
    stamps.put(new Chunk(job, chunk), stamp);
  }

  /** Record {@code n} speaks of the chunk, and no checkpoint covers it. */
  public void loadedUncovered(Job job, int chunk, long n) {
    spoken(new Chunk(job, chunk), n);
  }

  public void loadedDone(Job job, BitSet done) {
    durableDone.put(job, (BitSet) done.clone());
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

  /** The job is over and none of its tasks is anywhere: nothing needs to be known of it. */
  public void over(Job job) {
    dirty.remove(job);
    durableDone.remove(job);
    for (int i = 0; i < job.chunks(); i++) {
      Chunk c = new Chunk(job, i);
      covered(c);
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
    return dirty.size() + ending.size();
  }

  private void spoken(Chunk c, long n) {
    Long before = oldest.get(c);
    if (before == null || before > n) {
      covered(c);
      oldest.put(c, n);
      uncovered.computeIfAbsent(n, x -> new LinkedHashSet<>()).add(c);
    }
  }

  private void covered(Chunk c) {
    Long n = oldest.remove(c);
    if (n != null) {
      Set<Chunk> at = uncovered.get(n);
      at.remove(c);
      if (at.isEmpty()) {
        uncovered.remove(n);
      }
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
    if (busy || closed || dirty.isEmpty() && ending.isEmpty() && removable.isEmpty()) {
      return;
    }
    int budget = (int) Math.min(txnOps, Math.floor(writes.available()));
    if (budget < 1) {
      plan(40);
      return;
    }
    Batch batch = new Batch(budget);
    batch.fill();
    if (batch.changes.isEmpty()) {
      plan(100);
      return;
    }
    busy = true;
    writes.take(batch.changes.size());
    long sentMs = scheduler.nowMs();
    LOG.debug(
        "writing {} changes, {} bytes: {} logs, {} ends, {} checkpoints; {} left",
        batch.changes.size(),
        batch.bytes,
        batch.ids.size(),
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

  /** One transaction in the making. */
  private final class Batch {
    private final int budget;
    private final List<Condition> conditions = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Said> said = new ArrayList<>();
    private final List<Job> ended = new ArrayList<>();
    private final List<Chunk> checkpoints = new ArrayList<>();
    private final List<Chunk> removed = new ArrayList<>();
    private final Map<Long, Set<Chunk>> spokenOf = new LinkedHashMap<>();
    private final Map<Long, String> ids = new LinkedHashMap<>();
    private int bytes = 300;

    Batch(int budget) {
      this.budget = budget;
      conditions.add(new Condition(Keys.LEADER, term.leaderStamp()));
    }

    void fill() {
      // What waits to start waits for its record; users may learn of an end a little later.
      boolean endsFirst = dirty.isEmpty() || endsWaited || budget > 1;
      if (endsFirst) {
        ends(Math.max(1, budget - 1));
      }
      // A slot's old record may be replaced only when nothing rests on it any more; one record is
      // always left room for, unless that first needs checkpoints.
      long firstN = next;
      checkpoint(firstN - ProgressLog.SLOTS, budget, firstN);
      if (uncovered.isEmpty() || oldestUncovered() > firstN - ProgressLog.SLOTS) {
        log(firstN);
      }
      ends(budget);
      endsWaited = !ending.isEmpty();
      checkpoint(next - ProgressLog.SLOTS + EARLY, Math.min(budget, changes.size() + 2), firstN);
      removals();
    }

    /** The oldest record that something rests on which this transaction does not write. */
    private long oldestUncovered() {
      for (Map.Entry<Long, Set<Chunk>> e : uncovered.entrySet()) {
        if (!checkpoints.containsAll(e.getValue())) {
          return e.getKey();
        }
      }
      return Long.MAX_VALUE;
    }

    private boolean room(int most) {
      return changes.size() < most
          && conditions.size() + 2 <= txnOps * 4
          && (changes.isEmpty() || bytes < MAX_TXN_BYTES - valueBytes);
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

    private void log(long firstN) {
      long n = firstN;
      int group = ProgressLog.Builder.tasksThatFit(valueBytes);
      ProgressLog.Builder record = null;
      Set<Chunk> chunks = new LinkedHashSet<>();
      for (Iterator<Map.Entry<Job, BitSet>> it = dirty.entrySet().iterator(); it.hasNext(); ) {
        Map.Entry<Job, BitSet> e = it.next();
        Job job = e.getKey();
        if (job.blocked() || job.finished()) {
          it.remove();
          continue;
        }
        BitSet open = e.getValue();
        while (!open.isEmpty()) {
          if (record == null) {
            if (!room(budget)
                || oldestUncovered() <= n - ProgressLog.SLOTS
                || n - firstN >= EARLY / 2) {
              return;
            }
            record = new ProgressLog.Builder(n, id(), valueBytes - 100);
          }
          BitSet tasks = firstOf(open, group);
          Said s = new Said(job, tasks, new BitSet(), new ArrayList<>());
          if (!record.add(delta(s))) {
            put(n++, record, chunks);
            record = null;
            chunks = new LinkedHashSet<>();
            continue;
          }
          open.andNot(tasks);
          said.add(s);
          for (int t = tasks.nextSetBit(0); t >= 0; t = tasks.nextSetBit(t + 1)) {
            chunks.add(new Chunk(job, job.chunkOf(t)));
          }
        }
        it.remove();
      }
      if (record != null) {
        put(n, record, chunks);
      }
    }

    private String id() {
      return term.token() + "." + ++tries;
    }

    private void put(long n, ProgressLog.Builder record, Set<Chunk> chunks) {
      JsonNode value = record.value();
      conditions.add(new Condition(Keys.log(n), slotStamps[ProgressLog.slot(n)]));
      changes.add(new Change.Put(Keys.log(n), value));
      bytes += record.bytes() + 150;
      spokenOf.put(n, chunks);
      ids.put(n, value.path("id").asText());
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

    /** Writes whole what records up to {@code upToRecord} speak of. */
    private void checkpoint(long upToRecord, int most, long firstN) {
      for (Map.Entry<Long, Set<Chunk>> e : uncovered.headMap(upToRecord, true).entrySet()) {
        for (Chunk c : e.getValue()) {
          if (!room(most)) {
            return;
          }
          if (!checkpoints.contains(c) && !c.job().blocked()) {
            addCheckpoint(c, firstN);
          }
        }
      }
    }

    private void addCheckpoint(Chunk c, long firstN) {
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
      conditions.add(new Condition(c.key(), stamps.getOrDefault(c, 0L)));
      changes.add(new Change.Put(c.key(), value));
      bytes += Cbor.jsonSize(value) + 150;
      said.add(s);
      checkpoints.add(c);
    }

    private void removals() {
      for (Iterator<Chunk> it = removable.iterator();
          it.hasNext() && changes.size() < budget && conditions.size() + 2 <= txnOps * 4; ) {
        Chunk c = it.next();
        it.remove();
        conditions.add(new Condition(c.key(), stamps.getOrDefault(c, 0L)));
        changes.add(new Change.Remove(c.key()));
        removed.add(c);
        bytes += 150;
      }
    }
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
        LOG.error("the state service calls a write malformed: {} changes", batch.changes.size());
      }
      plan(Math.min(1_000, 60L << Math.min(4, failures)));
      return;
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

  /** Whatever the transaction said is to be written again, as it will be then. */
  private void again(Batch batch) {
    for (Said s : batch.said) {
      if (!s.job().over() || !s.job().live().isEmpty()) {
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
    // A record of an earlier try, executed late, may stand in a slot instead of this one. What it
    // said is written again by the next; only its place in the log is taken.
    while (true) {
      Optional<Entry> e = replica.get(Keys.log(next));
      if (e.isEmpty() || e.get().value().path("n").asLong() != next) {
        break;
      }
      taken(e.get());
    }
  }

  /** A record of an unanswered write stands: all that it speaks of rests on it until covered. */
  private void taken(Entry e) {
    ProgressLog.decode(e.value())
        .ifPresent(
            record -> {
              for (ProgressLog.Delta d : record.deltas()) {
                Job job = jobOf(d.uid());
                if (job != null) {
                  BitSet tasks = (BitSet) d.done().clone();
                  tasks.or(d.cleared());
                  d.live().forEach(l -> tasks.set(l.task()));
                  tasks.stream().forEach(t -> spoken(new Chunk(job, job.chunkOf(t)), next));
                }
              }
            });
    slotStamps[ProgressLog.slot(next)] = e.stamp();
    next++;
  }

  private Job jobOf(String uid) {
    for (Job job : dirty.keySet()) {
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
          covered(c);
        });
    batch.spokenOf.forEach(
        (n, chunks) -> {
          slotStamps[ProgressLog.slot(n)] = ledger;
          next = Math.max(next, n + 1);
          for (Chunk c : chunks) {
            if (!c.job().finished()) {
              spoken(c, n);
            }
          }
        });
    List<Placement> durable = new ArrayList<>();
    for (Said s : batch.said) {
      if (!s.job().over()) {
        durableDone.computeIfAbsent(s.job(), j -> new BitSet()).or(s.done());
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
