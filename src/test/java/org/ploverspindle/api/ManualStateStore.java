package org.ploverspindle.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.EventPriority;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.StateStore;

/**
 * A state service, with time, whose transactions wait until the test has them answered: what comes
 * while one is under way is what these tests are about. Reads are answered at once.
 */
final class ManualStateStore implements StateStore, Scheduler {
  private record Timer(long atMs, long order, Runnable work) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer o) {
      return atMs != o.atMs ? Long.compare(atMs, o.atMs) : Long.compare(order, o.order);
    }
  }

  /** A transaction that was sent and not answered. */
  record PendingTransaction(Transaction transaction, Consumer<TransactionResult> then) {}

  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final Map<String, Long> modRevisions = new HashMap<>();
  private final List<ChangedEntry> history = new ArrayList<>();
  private final Deque<PendingTransaction> sent = new ArrayDeque<>();
  private long nowMs;
  private long order;
  private long revision = 1;

  void run(long forMs) {
    long endMs = nowMs + forMs;
    while (!timers.isEmpty() && timers.peek().atMs() <= endMs) {
      Timer t = timers.poll();
      nowMs = t.atMs();
      t.work().run();
    }
    nowMs = endMs;
  }

  int inFlight() {
    return sent.size();
  }

  /** The oldest transaction without an answer. */
  Transaction oldestTransaction() {
    return sent.element().transaction();
  }

  /** Carries the oldest one out and has it answered. */
  TransactionResult commitAndRespond() {
    PendingTransaction s = sent.remove();
    TransactionResult result = execute(s.transaction());
    s.then().accept(result);
    return result;
  }

  /** Carries the oldest one out; what is returned has it answered. */
  Runnable commitAndDelayResponse() {
    PendingTransaction s = sent.remove();
    TransactionResult result = execute(s.transaction());
    return () -> s.then().accept(result);
  }

  /** The oldest one is held up on its way; what is returned has it carried out, unanswered. */
  Runnable delayCommit() {
    PendingTransaction s = sent.remove();
    return () -> execute(s.transaction());
  }

  /** Has the oldest one answered so, and does not carry it out. */
  void respondWithoutCommit(TransactionResult result) {
    sent.remove().then().accept(result);
  }

  /** What somebody else writes. */
  void writeByOthers(String key, JsonNode value) {
    execute(new Transaction(List.of(), List.of(new Change.Put(key, value))));
  }

  boolean contains(String key) {
    return modRevisions.containsKey(key);
  }

  long timesWritten(String key) {
    return history.stream().filter(c -> c.key().equals(key)).count();
  }

  private TransactionResult execute(Transaction txn) {
    List<String> failed =
        txn.conditions().stream()
            .filter(c -> modRevisions.getOrDefault(c.key(), 0L) != c.modRevision())
            .map(Condition::key)
            .toList();
    if (!failed.isEmpty()) {
      return new TransactionResult.Conflict(failed);
    }
    revision++;
    for (Change c : txn.changes()) {
      modRevisions.put(c.key(), revision);
      history.add(new ChangedEntry(c.key(), Optional.of(((Change.Put) c).value()), revision));
    }
    return new TransactionResult.Committed(revision);
  }

  @Override
  public void commit(Transaction txn, Consumer<TransactionResult> then) {
    sent.add(new PendingTransaction(txn, then));
  }

  @Override
  public void readPage(String prefix, String after, int size, Consumer<PageResult> then) {
    schedule(1, () -> then.accept(new PageResult.Page(List.of(), false, 0)));
  }

  @Override
  public void readChanges(String prefix, long after, Consumer<ChangesResult> then) {
    ChangesResult news =
        new ChangesResult.Changes(
            revision, history.stream().filter(c -> c.modRevision() > after).toList());
    schedule(1, () -> then.accept(news));
  }

  @Override
  public void openLease(long ttlMs, Consumer<Optional<Long>> then) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void renewLease(long hold, Consumer<Renewal> then) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void closeLease(long hold) {
    throw new UnsupportedOperationException();
  }

  @Override
  public long nowMs() {
    return nowMs;
  }

  @Override
  public long wallMs() {
    return nowMs;
  }

  @Override
  public void execute(EventPriority rank, Runnable work) {
    schedule(0, work);
  }

  @Override
  public Cancellable schedule(long delayMs, Runnable work) {
    boolean[] cancelled = {false};
    timers.add(
        new Timer(
            nowMs + Math.max(0, delayMs),
            order++,
            () -> {
              if (!cancelled[0]) {
                work.run();
              }
            }));
    return () -> cancelled[0] = true;
  }
}
