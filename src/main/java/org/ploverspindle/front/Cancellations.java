package org.ploverspindle.front;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ploverspindle.loop.Scheduler;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.TxnResult;
import org.ploverspindle.state.TokenBucket;

/**
 * Cancellations on their way into the store: one transaction at a time, with all that were asked
 * for meanwhile in the next, since under many small jobs requests are scarcer than changes. Nothing
 * is said before the record stands.
 */
final class Cancellations {
  /** How the record of a cancellation came out. */
  enum Outcome {
    STANDS,
    REFUSED,
    /** Another record stood in the way, or nobody knows: only reading back tells. */
    UNCERTAIN
  }

  private final Scheduler scheduler;
  private final StateStore store;
  private final TokenBucket writes;
  private final int most;

  /** By job, so that a user who asks again meanwhile shares the record. */
  private Map<String, List<Consumer<Outcome>>> waiting = new LinkedHashMap<>();

  /** Who asks again for one of these hears what becomes of it, and needs no record of its own. */
  private Map<String, List<Consumer<Outcome>>> underWay = new LinkedHashMap<>();

  private boolean busy;
  private boolean planned;

  /**
   * @param most changes that a transaction may hold
   */
  Cancellations(Scheduler scheduler, StateStore store, TokenBucket writes, int most) {
    this.scheduler = scheduler;
    this.store = store;
    this.writes = writes;
    this.most = most;
  }

  /** Writes the cancellation of a job that is not over by the copy. */
  void write(String uid, Consumer<Outcome> then) {
    Map<String, List<Consumer<Outcome>>> shared = underWay.containsKey(uid) ? underWay : waiting;
    shared.computeIfAbsent(uid, u -> new ArrayList<>()).add(then);
    plan();
  }

  private void plan() {
    if (!busy && !planned && !waiting.isEmpty()) {
      planned = true;
      // Those that came with the same read of the copy go together.
      scheduler.schedule(
          1,
          () -> {
            planned = false;
            flush();
          });
    }
  }

  private void flush() {
    if (busy || waiting.isEmpty()) {
      return;
    }
    List<Condition> conditions = new ArrayList<>();
    List<Change> changes = new ArrayList<>();
    Map<String, List<Consumer<Outcome>>> rest = new LinkedHashMap<>();
    waiting.forEach(
        (uid, askers) -> {
          if (changes.size() >= most) {
            rest.put(uid, askers);
            return;
          }
          // Done and cancelled exclude each other: each is written only where the other is absent.
          conditions.add(new Condition(Keys.done(uid), 0));
          conditions.add(new Condition(Keys.cancel(uid), 0));
          changes.add(new Change.Put(Keys.cancel(uid), Cbor.map().put("at", scheduler.wallMs())));
          underWay.put(uid, askers);
        });
    waiting = rest;
    busy = true;
    writes.take(changes.size());
    store.txn(
        new StateStore.Txn(conditions, changes),
        result -> {
          busy = false;
          Outcome outcome =
              result instanceof TxnResult.Committed
                  ? Outcome.STANDS
                  : result instanceof TxnResult.Refused ? Outcome.REFUSED : Outcome.UNCERTAIN;
          Map<String, List<Consumer<Outcome>>> told = underWay;
          underWay = new LinkedHashMap<>();
          told.values().forEach(askers -> askers.forEach(a -> a.accept(outcome)));
          plan();
        });
  }
}
