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
 * Writes cancellations to the state service. While the state service responds promptly, one
 * transaction is in flight, and all cancellations that are requested meanwhile share the next one:
 * with many small jobs the limit on requests is reached before the limit on changes. Once a
 * response is late, further cancellations are sent in additional transactions, up to a fixed number
 * in flight. A cancellation is acknowledged only once its record is durable.
 *
 * <p>A transaction without a response is read back early: a read barrier is requested after the
 * transaction was sent, and once it is reached, each request of the transaction is decided by the
 * replica. The same record may then be written again, and the first transaction may still be
 * executed afterwards. That is harmless: each transaction only creates cancellations, on the
 * conditions that the job's completion and its cancellation are absent. So of all transactions that
 * cancel a job, in whatever order they are executed, at most one takes effect, and none does once
 * the job is done. If a delayed transaction takes effect after its user was asked to retry, the job
 * is cancelled as that user requested, and no response contradicts it.
 */
final class CancellationWriter {
  /** The outcome of writing one cancellation. */
  enum Outcome {
    /** The cancellation is durable. */
    DURABLE,
    /** The state service refused the transaction; nothing was written. */
    REFUSED,
    /**
     * A condition failed, or it is unknown whether the transaction was executed: the replica must
     * be read to decide the request.
     */
    UNCERTAIN,
    /**
     * There was no response in time, and the replica has been read since. If it does not show the
     * job as done or aborted, the cancellation must be written again.
     */
    READ_BACK
  }

  /**
   * Receives notifications of transactions, before the requests that wait for them get an outcome.
   */
  interface Listener {
    /** Called when a transaction has just been sent. */
    void transactionSent();

    /** Called when these cancellations are durable, as of the given revision. */
    void cancellationsCommitted(List<Change.Put> cancellations, long revision);
  }

  /**
   * With this many transactions without an outcome the state service is considered unavailable, and
   * sending further ones would not help.
   */
  static final int MAX_IN_FLIGHT_TRANSACTIONS = 4;

  /**
   * A response that takes longer is late, and the next transaction is sent without waiting for it.
   * This also limits the rate of transactions of a controller whose responses are all lost.
   */
  static final long LATE_RESPONSE_AFTER_MS = 100;

  /**
   * Time without a response after which a transaction is read back. Far above the usual response
   * time, so that few transactions are read back needlessly.
   */
  static final long READ_BACK_AFTER_MS = 300;

  /**
   * Delay before a transaction is sent, so that requests that arrive in one turn of the event loop
   * share it.
   */
  private static final long BATCH_WINDOW_MS = 1;

  /** Field of a stored cancellation: the wall clock time of its creation in milliseconds. */
  private static final String CANCELLED_AT_FIELD = "at";

  /**
   * A transaction without an outcome, with the requests that wait for it by the uid of their job.
   * This is not a Java record, as two transactions for the same jobs must not be equal.
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

  /**
   * Requests whose transaction has not been sent, by the uid of their job, so that repeated
   * requests share one record.
   */
  private Map<String, List<Consumer<Outcome>>> pendingRequests = new LinkedHashMap<>();

  /**
   * Transactions without an outcome. A repeated request for a job of one of them shares its
   * outcome.
   */
  private final List<InFlightTransaction> inFlightTransactions = new ArrayList<>();

  private Optional<Cancellable> scheduledSend = Optional.empty();

  /** Time at which the last transaction was sent; used only while a transaction is in flight. */
  private long lastSentMs;

  /**
   * @param maxChanges largest number of changes in a transaction
   * @param readBarrier reads the replica: passes true to its argument once the replica holds
   *     everything that was committed before the call, or false if the read failed
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

  /**
   * Writes the cancellation of a job that the replica does not show as done or aborted. Calls
   * {@code then} once with the outcome.
   */
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

  /**
   * Returns the conditions of the transaction. A job's completion and its cancellation exclude each
   * other: each is written only if the other is absent.
   */
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

  /**
   * Schedules a read-back of the transaction. It is repeated until the transaction has an outcome,
   * as the read may fail too.
   */
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

  /**
   * Passes the outcome to the requests of the transaction, once: of the response and the read-back,
   * the later one is ignored.
   */
  private void complete(InFlightTransaction sent, Outcome outcome) {
    if (inFlightTransactions.remove(sent)) {
      for (List<Consumer<Outcome>> requests : sent.requests.values()) {
        requests.forEach(request -> request.accept(outcome));
      }
      scheduleSend();
    }
  }
}
