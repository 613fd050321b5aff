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
 * A simulated state service and clock. A transaction stays in flight until the test executes it or
 * delivers its response, so that requests can arrive meanwhile. Reads get their response after 1
 * ms.
 */
final class ManualStateStore implements StateStore, Scheduler {
  private record Timer(long atMs, long order, Runnable work) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(order, other.order);
    }
  }

  /** A transaction that has not been executed and has no response. */
  record PendingTransaction(Transaction transaction, Consumer<TransactionResult> then) {}

  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final Map<String, Long> modRevisions = new HashMap<>();
  private final List<ChangedEntry> history = new ArrayList<>();
  private final Deque<PendingTransaction> pendingTransactions = new ArrayDeque<>();
  private long nowMs;
  private long nextTimerOrder;
  private long revision = 1;

  /** Advances the clock by this time and runs the work that becomes due. */
  void runFor(long durationMs) {
    long endMs = nowMs + durationMs;
    while (!timers.isEmpty() && timers.peek().atMs() <= endMs) {
      Timer timer = timers.poll();
      nowMs = timer.atMs();
      timer.work().run();
    }
    nowMs = endMs;
  }

  int inFlightCount() {
    return pendingTransactions.size();
  }

  /** Returns the oldest transaction in flight. */
  Transaction oldestTransaction() {
    return pendingTransactions.element().transaction();
  }

  /** Executes the oldest transaction and delivers its response. */
  TransactionResult commitAndRespond() {
    PendingTransaction oldest = pendingTransactions.remove();
    TransactionResult result = execute(oldest.transaction());
    oldest.then().accept(result);
    return result;
  }

  /** Executes the oldest transaction; the returned action delivers its response. */
  Runnable commitAndDelayResponse() {
    PendingTransaction oldest = pendingTransactions.remove();
    TransactionResult result = execute(oldest.transaction());
    return () -> oldest.then().accept(result);
  }

  /**
   * Takes the oldest transaction out of flight; the returned action executes it without a response.
   */
  Runnable delayCommit() {
    PendingTransaction oldest = pendingTransactions.remove();
    return () -> execute(oldest.transaction());
  }

  /** Delivers this response for the oldest transaction, which is not executed. */
  void respondWithoutCommit(TransactionResult result) {
    pendingTransactions.remove().then().accept(result);
  }

  /** Writes the value unconditionally, as another process does. */
  void writeFromAnotherProcess(String key, JsonNode value) {
    execute(new Transaction(List.of(), List.of(new Change.Put(key, value))));
  }

  boolean contains(String key) {
    return modRevisions.containsKey(key);
  }

  long timesWritten(String key) {
    return history.stream().filter(change -> change.key().equals(key)).count();
  }

  private TransactionResult execute(Transaction transaction) {
    List<String> failed =
        transaction.conditions().stream()
            .filter(
                condition ->
                    modRevisions.getOrDefault(condition.key(), 0L) != condition.modRevision())
            .map(Condition::key)
            .toList();
    if (!failed.isEmpty()) {
      return new TransactionResult.Conflict(failed);
    }
    revision++;
    for (Change change : transaction.changes()) {
      modRevisions.put(change.key(), revision);
      history.add(
          new ChangedEntry(change.key(), Optional.of(((Change.Put) change).value()), revision));
    }
    return new TransactionResult.Committed(revision);
  }

  @Override
  public void commit(Transaction transaction, Consumer<TransactionResult> then) {
    pendingTransactions.add(new PendingTransaction(transaction, then));
  }

  @Override
  public void readPage(String prefix, String after, int size, Consumer<PageResult> then) {
    schedule(1, () -> then.accept(new PageResult.Page(List.of(), false, 0)));
  }

  @Override
  public void readChanges(String prefix, long after, Consumer<ChangesResult> then) {
    ChangesResult changes =
        new ChangesResult.Changes(
            revision, history.stream().filter(change -> change.modRevision() > after).toList());
    schedule(1, () -> then.accept(changes));
  }

  @Override
  public void openLease(long ttlMs, Consumer<Optional<Long>> then) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void renewLease(long lease, Consumer<Renewal> then) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void closeLease(long lease) {
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
  public void execute(EventPriority priority, Runnable work) {
    schedule(0, work);
  }

  @Override
  public Cancellable schedule(long delayMs, Runnable work) {
    boolean[] cancelled = {false};
    timers.add(
        new Timer(
            nowMs + Math.max(0, delayMs),
            nextTimerOrder++,
            () -> {
              if (!cancelled[0]) {
                work.run();
              }
            }));
    return () -> cancelled[0] = true;
  }
}
