package org.ploverspindle.jobs;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.ploverspindle.leadership.Term;
import org.ploverspindle.loop.Scheduler;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;
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
 * Makes the leader's progress durable: one transaction at a time, everything of a round in it that
 * the limits allow, ends of jobs first.
 *
 * <p>Each write is bound to the leader key's version, so that a deposed leader's writes fail, and
 * to the version of every key it replaces, so that an unanswered write that is executed late can't
 * undo a later one.
 */
public final class ProgressWriter {
  private static final Logger LOG = LoggerFactory.getLogger(ProgressWriter.class);
  private static final int MAX_TXN_BYTES = 56 * 1024;

  /** What happens to the writer's outcome. */
  public interface Listener {
    /** Something became durable: orders that waited for it may go out. */
    void durable();

    void finished(Job job);

    void deposed(String cause);
  }

  private record Chunk(Job job, int index) {
    String key() {
      return Keys.progress(job.uid(), index);
    }
  }

  /** What a transaction says of one chunk, for when it is known to be durable. */
  private record Said(Chunk chunk, BitSet done, List<Placement> placements) {}

  private final Scheduler scheduler;
  private final StateStore store;
  private final Replica replica;
  private final TokenBucket writes;
  private final int txnOps;
  private final Term term;
  private final Function<Machine, ProgressRecord.Host> hostNames;
  private final Listener listener;
  private final Map<Chunk, Long> stamps = new HashMap<>();
  private final Map<Chunk, BitSet> durableDone = new HashMap<>();
  private final LinkedHashSet<Chunk> dirty = new LinkedHashSet<>();
  private final LinkedHashMap<String, Job> ending = new LinkedHashMap<>();
  private final LinkedHashSet<Chunk> removable = new LinkedHashSet<>();
  private boolean busy;
  private boolean planned;
  private boolean closed;
  private int failures;

  public ProgressWriter(
      Scheduler scheduler,
      StateStore store,
      Replica replica,
      TokenBucket writes,
      int txnOps,
      Term term,
      Function<Machine, ProgressRecord.Host> hostNames,
      Listener listener) {
    this.scheduler = scheduler;
    this.store = store;
    this.replica = replica;
    this.writes = writes;
    this.txnOps = txnOps;
    this.term = term;
    this.hostNames = hostNames;
    this.listener = listener;
  }

  public void close() {
    closed = true;
  }

  /** Takes over what an earlier leader recorded. */
  public void loaded(Job job, int chunk, long stamp, BitSet done) {
    Chunk c = new Chunk(job, chunk);
    stamps.put(c, stamp);
    durableDone.put(c, (BitSet) done.clone());
  }

  public boolean isDurablyDone(Job job, int task) {
    if (job.finished()) {
      return true;
    }
    BitSet done = durableDone.get(new Chunk(job, job.chunkOf(task)));
    return done != null && done.get(task);
  }

  /** The task's progress changed. */
  public void changed(Job job, int task) {
    if (job.allDone() && !job.cancelled()) {
      ending.putIfAbsent(job.uid(), job);
    } else {
      dirty.add(new Chunk(job, job.chunkOf(task)));
    }
    plan(15);
  }

  /** The job is over and none of its tasks is anywhere: its progress records can go. */
  public void over(Job job) {
    for (int i = 0; i < job.chunks(); i++) {
      Chunk c = new Chunk(job, i);
      dirty.remove(c);
      if (stamps.getOrDefault(c, 0L) != 0) {
        removable.add(c);
      }
    }
    plan(500);
  }

  /** How much waits to be written. */
  public int backlog() {
    return dirty.size() + ending.size();
  }

  private void plan(long delayMs) {
    if (!planned && !busy && !closed) {
      planned = true;
      scheduler.schedule(
          delayMs,
          () -> {
            planned = false;
            flush();
          });
    }
  }

  private void flush() {
    if (busy || closed || dirty.isEmpty() && ending.isEmpty() && removable.isEmpty()) {
      return;
    }
    int budget = (int) Math.min(txnOps, Math.floor(writes.available()));
    if (budget < 1) {
      plan(60);
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
    store.txn(new StateStore.Txn(batch.conditions, batch.changes), r -> answered(batch, r));
  }

  /** One transaction in the making. */
  private final class Batch {
    private final int budget;
    private final List<Condition> conditions = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Said> said = new ArrayList<>();
    private final List<Job> ended = new ArrayList<>();
    private final List<Chunk> removed = new ArrayList<>();
    private int bytes = 300;

    Batch(int budget) {
      this.budget = budget;
      conditions.add(new Condition(Keys.LEADER, term.leaderStamp()));
    }

    void fill() {
      for (Iterator<Job> it = ending.values().iterator(); it.hasNext() && room(); ) {
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
      for (Iterator<Chunk> it = dirty.iterator(); it.hasNext() && room(); ) {
        Chunk c = it.next();
        if (c.job().blocked() || c.job().over() && c.job().live().isEmpty()) {
          it.remove();
          continue;
        }
        if (addChunk(c)) {
          it.remove();
        } else {
          break;
        }
      }
      for (Iterator<Chunk> it = removable.iterator(); it.hasNext() && room(); ) {
        Chunk c = it.next();
        it.remove();
        conditions.add(new Condition(c.key(), stamps.getOrDefault(c, 0L)));
        changes.add(new Change.Remove(c.key()));
        removed.add(c);
        bytes += 150;
      }
    }

    private boolean room() {
      return changes.size() < budget
          && conditions.size() + 2 <= txnOps * 4
          && bytes < MAX_TXN_BYTES;
    }

    private boolean addChunk(Chunk c) {
      Job job = c.job();
      int from = c.index() * job.chunkSize();
      int to = Math.min(job.spec().tasks(), from + job.chunkSize());
      BitSet done = new BitSet();
      List<Placement> placements = new ArrayList<>();
      List<ProgressRecord.Live> live = new ArrayList<>();
      int running = 0;
      for (int task = from; task < to; task++) {
        if (job.done().get(task)) {
          done.set(task);
        }
        Placement p = job.liveAt(task);
        if (p != null) {
          placements.add(p);
          live.add(
              new ProgressRecord.Live(task, p.attempt(), hostNames.apply(p.machine()), p.tenure()));
          running++;
        }
      }
      var value = new ProgressRecord(done, live, running).encode();
      int size = Cbor.jsonSize(value) + 150;
      if (!changes.isEmpty() && bytes + size > MAX_TXN_BYTES) {
        return false;
      }
      bytes += size;
      conditions.add(new Condition(c.key(), stamps.getOrDefault(c, 0L)));
      changes.add(new Change.Put(c.key(), value));
      said.add(new Said(c, done, placements));
      return true;
    }
  }

  private void answered(Batch batch, TxnResult result) {
    busy = false;
    if (closed) {
      return;
    }
    if (result instanceof TxnResult.Committed committed) {
      failures = 0;
      committed(batch, committed.ledger());
      plan(30);
      return;
    }
    failures++;
    batch.said.forEach(s -> dirty.add(s.chunk()));
    batch.ended.forEach(j -> ending.putIfAbsent(j.uid(), j));
    removable.addAll(batch.removed);
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
          plan(ok ? 20 : 300);
        });
  }

  private void readBack(Batch batch, TxnResult result) {
    boolean ours = replica.get(Keys.LEADER).map(e -> e.stamp() == term.leaderStamp()).orElse(false);
    if (!ours) {
      listener.deposed("the leader key changed under a write");
      return;
    }
    Set<Chunk> touched = new HashSet<>(batch.removed);
    batch.said.forEach(s -> touched.add(s.chunk()));
    for (Chunk c : touched) {
      stamps.put(c, replica.get(c.key()).map(Entry::stamp).orElse(0L));
    }
    removable.removeIf(c -> stamps.getOrDefault(c, 0L) == 0);
    for (Job job : batch.ended) {
      if (replica.get(Keys.done(job.uid())).isPresent()) {
        finish(job);
      }
    }
    LOG.debug("a write was read back after {}", result);
  }

  private void committed(Batch batch, long ledger) {
    for (Said s : batch.said) {
      stamps.put(s.chunk(), ledger);
      durableDone.put(s.chunk(), s.done());
      s.placements().forEach(Placement::recorded);
    }
    for (Chunk c : batch.removed) {
      stamps.remove(c);
      durableDone.remove(c);
    }
    batch.ended.forEach(this::finish);
    listener.durable();
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
