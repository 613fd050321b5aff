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
 * Cancellations on their way into the store. While the store answers promptly, one transaction is
 * in flight and all that are asked for meanwhile share the next, since under many small jobs
 * requests are scarcer than changes. Once an answer is late, the others go on in transactions of
 * their own, a bounded number of them. Nothing is acknowledged before the record is durable.
 *
 * <p>A transaction without an answer is read back early: the replica is read past the moment at
 * which it was sent, and whoever waits for it decides by the replica, which may mean to write the
 * same record again. The first transaction may still be carried out afterwards. That is harmless:
 * each has the absence of the job's end and of its cancellation as conditions and only creates the
 * cancellation, so of all transactions for a job, in whatever order they are carried out, at most
 * one takes effect, and none does once the job is done. If a late one takes effect after its user
 * was told to ask again, the job is cancelled as that user demanded, and nobody was told otherwise.
 */
final class CancellationWriter {
  /** How the record of a cancellation came out. */
  enum Outcome {
    DURABLE,
    REFUSED,
    /** Another record stood in the way, or nobody knows: only reading back tells. */
    UNCERTAIN,
    /**
     * No answer came, and the replica has been read since: it tells, or the record is due again.
     */
    READ_BACK
  }

  /** What others learn of the transactions, before anybody who waits for them is told. */
  interface Listener {
    /** A transaction has just been sent. */
    void sent();

    /** These cancellations are durable, as of that revision. */
    void committed(List<Change.Put> cancellations, long revision);
  }

  /**
   * Beyond so many transactions without an answer the store does not serve, and more are no use.
   */
  static final int MAX_IN_FLIGHT = 4;

  /**
   * An answer that takes longer is late, and the others do not wait for it. Below that they share
   * the next transaction; it also spaces the requests of a node whose answers are all lost.
   */
  static final long NEXT_AFTER_MS = 100;

  /**
   * A transaction that is unanswered for so long is read back. The store answers within 10 ms as a
   * rule and rarely takes a few hundred, so that few are read back for nothing.
   */
  static final long READ_BACK_AFTER_MS = 300;

  /** A transaction that was sent, with those who wait for its records. */
  private static final class InFlight {
    private final Map<String, List<Consumer<Outcome>>> askers;

    InFlight(Map<String, List<Consumer<Outcome>>> askers) {
      this.askers = askers;
    }
  }

  private final Scheduler scheduler;
  private final StateStore store;
  private final TokenBucket writeBudget;
  private final int maxChanges;
  private final Consumer<Consumer<Boolean>> readBarrier;
  private final Listener listener;

  /** By job, so that a user who asks again meanwhile shares the record. */
  private Map<String, List<Consumer<Outcome>>> pendingRequests = new LinkedHashMap<>();

  /** Who asks again for one of these shares its outcome, and needs no record of their own. */
  private final List<InFlight> inFlight = new ArrayList<>();

  private Optional<Cancellable> scheduledSend = Optional.empty();
  private long lastSentMs = Long.MIN_VALUE / 2;

  /**
   * @param maxChanges changes that a transaction may hold
   * @param readBarrier brings the replica past the moment of the call, or says false
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

  /** Writes the cancellation of a job that is not over by the replica. */
  void write(String uid, Consumer<Outcome> then) {
    Map<String, List<Consumer<Outcome>>> shared =
        inFlight.stream()
            .map(sent -> sent.askers)
            .filter(askers -> askers.containsKey(uid))
            .findFirst()
            .orElse(pendingRequests);
    shared.computeIfAbsent(uid, u -> new ArrayList<>()).add(then);
    scheduleSend();
  }

  private void scheduleSend() {
    scheduledSend.ifPresent(Cancellable::cancel);
    scheduledSend = Optional.empty();
    if (pendingRequests.isEmpty() || inFlight.size() >= MAX_IN_FLIGHT) {
      return;
    }
    // Those that came with the same read of the replica go together.
    long delayMs = 1;
    if (!inFlight.isEmpty()) {
      delayMs = Math.max(delayMs, lastSentMs + NEXT_AFTER_MS - scheduler.nowMs());
    }
    scheduledSend = Optional.of(scheduler.schedule(delayMs, this::send));
  }

  private void send() {
    scheduledSend = Optional.empty();
    InFlight sent = new InFlight(takePendingRequests());
    inFlight.add(sent);
    lastSentMs = scheduler.nowMs();
    writeBudget.take(sent.askers.size());
    scheduleReadBack(sent);
    List<Change.Put> cancellations = cancellationRecords(sent);
    StateStore.Transaction txn =
        new StateStore.Transaction(conditions(sent), List.copyOf(cancellations));
    store.commit(txn, result -> handleResult(sent, cancellations, result));
    listener.sent();
    scheduleSend();
  }

  private Map<String, List<Consumer<Outcome>>> takePendingRequests() {
    Map<String, List<Consumer<Outcome>>> taken = new LinkedHashMap<>();
    Map<String, List<Consumer<Outcome>>> rest = new LinkedHashMap<>();
    pendingRequests.forEach(
        (uid, askers) -> (taken.size() < maxChanges ? taken : rest).put(uid, askers));
    pendingRequests = rest;
    return taken;
  }

  private List<Change.Put> cancellationRecords(InFlight sent) {
    List<Change.Put> cancellations = new ArrayList<>();
    for (String uid : sent.askers.keySet()) {
      cancellations.add(
          new Change.Put(Keys.cancellation(uid), Cbor.map().put("at", scheduler.wallMs())));
    }
    return cancellations;
  }

  /** Done and cancelled exclude each other: each is written only where the other is absent. */
  private static List<Condition> conditions(InFlight sent) {
    List<Condition> conditions = new ArrayList<>();
    for (String uid : sent.askers.keySet()) {
      conditions.add(new Condition(Keys.completion(uid), 0));
      conditions.add(new Condition(Keys.cancellation(uid), 0));
    }
    return conditions;
  }

  private void handleResult(
      InFlight sent, List<Change.Put> cancellations, TransactionResult result) {
    if (result instanceof TransactionResult.Committed committed) {
      listener.committed(cancellations, committed.revision());
    }
    settle(sent, outcome(result));
  }

  private static Outcome outcome(TransactionResult result) {
    if (result instanceof TransactionResult.Committed) {
      return Outcome.DURABLE;
    }
    return result instanceof TransactionResult.Refused ? Outcome.REFUSED : Outcome.UNCERTAIN;
  }

  /** Again and again until it is settled: the read may fail as well. */
  private void scheduleReadBack(InFlight sent) {
    scheduler.schedule(
        READ_BACK_AFTER_MS,
        () -> {
          if (inFlight.contains(sent)) {
            readBarrier.accept(
                ok -> {
                  if (ok) {
                    settle(sent, Outcome.READ_BACK);
                  } else {
                    scheduleReadBack(sent);
                  }
                });
          }
        });
  }

  /** By identity: two transactions for the same jobs are not the same. */

  /** Once only: an answer that comes after the read-back, or the reverse, changes nothing. */
  private void settle(InFlight sent, Outcome outcome) {
    if (inFlight.remove(sent)) {
      sent.askers.values().forEach(askers -> askers.forEach(a -> a.accept(outcome)));
      scheduleSend();
    }
  }
}
