package org.ploverspindle.api;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TokenBucket;

/**
 * Writes cancellations to the state service. While it answers promptly, one transaction is in
 * flight and all cancellations that are requested meanwhile share the next, since under many small
 * jobs requests are scarcer than changes. Once a response is late, others are sent in transactions
 * of their own, a bounded number of them. Nothing is acknowledged before the record is durable.
 *
 * <p>A transaction without a response is read back early: a read barrier is reached after it was
 * sent, and each of its requests is decided by the replica, which may lead to the same record being
 * written again. The first transaction may still be executed afterwards. That is harmless: each has
 * the absence of the job's completion and of its cancellation as conditions and only creates the
 * cancellation. So of all transactions for a job, in whatever order they are executed, at most one
 * takes effect, and none does once the job is done. If a late one takes effect after its user was
 * asked to retry, the job is cancelled as that user requested, and no response contradicts it.
 */
final class CancellationWriter {
  /** The outcome of writing one cancellation. */
  enum Outcome {
    /** The cancellation is durable. */
    DURABLE,
    /** The state service refused the transaction; nothing was written. */
    REFUSED,
    /** A condition failed, or there was no response: read the replica to find out. */
    UNCERTAIN,
    /**
     * There was no response, and the replica has been read since: it shows the job as terminal, or
     * the cancellation is to be written again.
     */
    READ_BACK
  }

  /** Is notified of the transactions, before the requests that wait for them are answered. */
  interface Listener {
    /** A transaction has just been sent. */
    void transactionSent();

    /** These cancellations are durable, as of that revision. */
    void cancellationsCommitted(List<Change.Put> cancellations, long revision);
  }

  /**
   * With this many transactions unanswered the state service is taken to be unavailable, and
   * sending more would not help.
   */
  static final int MAX_IN_FLIGHT_TRANSACTIONS = 4;

  /**
   * A response that takes longer is late, and the next transaction does not wait for it. Also
   * bounds the rate of requests of a controller whose responses are all lost.
   */
  static final long LATE_RESPONSE_AFTER_MS = 100;

  /** Far above the usual time of a response, so that few are read back needlessly. */
  static final long READ_BACK_AFTER_MS = 300;

  /** Requests that arrive in one turn of the event loop go into one transaction. */
  private static final long BATCH_WINDOW_MS = 1;

  /** Field of a stored cancellation: the wall clock in milliseconds. */
  private static final String CANCELLED_AT_FIELD = "at";

  /**
   * A transaction without an outcome, with the requests that wait for its records by job. A class,
   * not a record: two transactions for the same jobs must not be equal.
   */
  private static final class InFlightTransaction {
    private final Map<String, List<Consumer<Outcome>>> requests;

    InFlightTransaction(Map<String, List<Consumer<Outcome>>> requests) {
      this.requests = requests;
    }
  }

  private final Scheduler scheduler;
  private final StateStore store;
  private final TokenBucket writeBudget;
  private final int maxChanges;
  private final Consumer<Consumer<Boolean>> readBarrier;
  private final Listener listener;

  /** By job, so that repeated requests share one record. */
  private Map<String, List<Consumer<Outcome>>> pendingRequests = new LinkedHashMap<>();

  /** A repeated request for a job of one of these shares its outcome. */
  private final List<InFlightTransaction> inFlightTransactions = new ArrayList<>();

  private Optional<Cancellable> scheduledSend = Optional.empty();

  /** Meaningful while a transaction is in flight. */
  private long lastSentMs;

  /**
   * @param maxChanges changes that a transaction may hold
   * @param readBarrier reads the replica: calls with true once it is as new as the call, with false
   *     when that fails
   */
  CancellationWriter(
      Scheduler scheduler,
      StateStore store,
      TokenBucket writeBudget,
      int maxChanges,
      Consumer<Consumer<Boolean>> readBarrier,
      Listener listener) {
    this.scheduler = scheduler;
    this.store = store;
    this.writeBudget = writeBudget;
    this.maxChanges = maxChanges;
    this.readBarrier = readBarrier;
    this.listener = listener;
  }

  /** Writes the cancellation of a job that is not terminal by the replica. Calls once. */
  void write(String uid, Consumer<Outcome> then) {
    Map<String, List<Consumer<Outcome>>> requestsByUid =
        inFlightTransactions.stream()
            .map(transaction -> transaction.requests)
            .filter(requests -> requests.containsKey(uid))
            .findFirst()
            .orElse(pendingRequests);
    requestsByUid.computeIfAbsent(uid, key -> new ArrayList<>()).add(then);
    scheduleSend();
  }

  private void scheduleSend() {
    scheduledSend.ifPresent(Cancellable::cancel);
    scheduledSend = Optional.empty();
    if (pendingRequests.isEmpty() || inFlightTransactions.size() >= MAX_IN_FLIGHT_TRANSACTIONS) {
      return;
    }
    long delayMs = BATCH_WINDOW_MS;
    if (!inFlightTransactions.isEmpty()) {
      delayMs = Math.max(delayMs, lastSentMs + LATE_RESPONSE_AFTER_MS - scheduler.nowMs());
    }
    scheduledSend = Optional.of(scheduler.schedule(delayMs, this::send));
  }

  private void send() {
    scheduledSend = Optional.empty();
    InFlightTransaction sent = new InFlightTransaction(takePendingRequests());
    inFlightTransactions.add(sent);
    lastSentMs = scheduler.nowMs();
    writeBudget.take(sent.requests.size());
    scheduleReadBack(sent);
    List<Change.Put> records = cancellationRecords(sent);
    StateStore.Transaction transaction =
        new StateStore.Transaction(conditions(sent), List.copyOf(records));
    store.commit(transaction, result -> handleResult(sent, records, result));
    listener.transactionSent();
    scheduleSend();
  }

  private Map<String, List<Consumer<Outcome>>> takePendingRequests() {
    Map<String, List<Consumer<Outcome>>> taken = new LinkedHashMap<>();
    Map<String, List<Consumer<Outcome>>> remaining = new LinkedHashMap<>();
    pendingRequests.forEach(
        (uid, requests) -> (taken.size() < maxChanges ? taken : remaining).put(uid, requests));
    pendingRequests = remaining;
    return taken;
  }

  private List<Change.Put> cancellationRecords(InFlightTransaction sent) {
    List<Change.Put> records = new ArrayList<>();
    for (String uid : sent.requests.keySet()) {
      records.add(
          new Change.Put(
              Keys.cancellation(uid), Cbor.map().put(CANCELLED_AT_FIELD, scheduler.wallMs())));
    }
    return records;
  }

  /** Done and cancelled exclude each other: each is written only if the other is absent. */
  private static List<Condition> conditions(InFlightTransaction sent) {
    List<Condition> conditions = new ArrayList<>();
    for (String uid : sent.requests.keySet()) {
      conditions.add(new Condition(Keys.completion(uid), 0));
      conditions.add(new Condition(Keys.cancellation(uid), 0));
    }
    return conditions;
  }

  private void handleResult(
      InFlightTransaction sent, List<Change.Put> records, TransactionResult result) {
    if (result instanceof TransactionResult.Committed committed) {
      listener.cancellationsCommitted(records, committed.revision());
    }
    complete(sent, outcome(result));
  }

  private static Outcome outcome(TransactionResult result) {
    if (result instanceof TransactionResult.Committed) {
      return Outcome.DURABLE;
    }
    return result instanceof TransactionResult.Refused ? Outcome.REFUSED : Outcome.UNCERTAIN;
  }

  /** Repeated until the transaction has an outcome, as the read may fail too. */
  private void scheduleReadBack(InFlightTransaction sent) {
    scheduler.schedule(
        READ_BACK_AFTER_MS,
        () -> {
          if (inFlightTransactions.contains(sent)) {
            readBarrier.accept(fresh -> handleReadBack(sent, fresh));
          }
        });
  }

  private void handleReadBack(InFlightTransaction sent, boolean fresh) {
    if (fresh) {
      complete(sent, Outcome.READ_BACK);
    } else {
      scheduleReadBack(sent);
    }
  }

  /** Takes effect once: of the response and the read-back, the later one is ignored. */
  private void complete(InFlightTransaction sent, Outcome outcome) {
    if (inFlightTransactions.remove(sent)) {
      for (List<Consumer<Outcome>> requests : sent.requests.values()) {
        requests.forEach(request -> request.accept(outcome));
      }
      scheduleSend();
    }
  }
}
