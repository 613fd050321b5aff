package org.ploverspindle.state;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.ploverspindle.model.Term;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.TransactionResult;

/**
 * Single writes of a leader other than progress. Each is conditional on the leader key's mod
 * revision, so that writes of a deposed leader fail.
 */
public final class LeaderWriter {
  /** The status of a transaction that is malformed or beyond the limits. */
  private static final int BAD_REQUEST = 400;

  /** How much of the budget is left for writes that can't wait. */
  private static final double RESERVED_WRITES = 2;

  private final StateStore store;
  private final Replica replica;
  private final TokenBucket writeBudget;
  private final Term term;

  /**
   * @param writeBudget the budget of changes
   */
  public LeaderWriter(StateStore store, Replica replica, TokenBucket writeBudget, Term term) {
    this.store = store;
    this.replica = replica;
    this.writeBudget = writeBudget;
    this.term = term;
  }

  /** Whether the budget allows a write that can wait. */
  public boolean hasSpareBudget() {
    return writeBudget.available() >= RESERVED_WRITES;
  }

  /** What is known of a key that was to be created. */
  public enum CreateOutcome {
    /** It exists with the given value. */
    CREATED,
    /** It was certainly not created. */
    REFUSED,
    /** It was certainly not created, as it is beyond the state service's limits. */
    TOO_LARGE,
    /** It may exist, or may still be created. */
    UNKNOWN
  }

  /** Creates the key; reads it back when the answer does not show whether it exists. */
  public void create(Change.Put put, Consumer<CreateOutcome> callback) {
    write(
        List.of(new Condition(put.key(), 0)),
        put,
        result -> {
          if (result instanceof TransactionResult.Committed) {
            callback.accept(CreateOutcome.CREATED);
          } else if (result instanceof TransactionResult.Refused refused) {
            callback.accept(
                refused.status() == BAD_REQUEST ? CreateOutcome.TOO_LARGE : CreateOutcome.REFUSED);
          } else {
            replica.readBarrier(
                isRead ->
                    callback.accept(
                        isRead && isStored(put) ? CreateOutcome.CREATED : CreateOutcome.UNKNOWN));
          }
        });
  }

  private boolean isStored(Change.Put put) {
    return replica.get(put.key()).filter(entry -> entry.value().equals(put.value())).isPresent();
  }

  /** Writes or removes a key without a retry: losing it may only cost time. */
  public void writeBestEffort(Change change, Consumer<Boolean> callback) {
    write(
        List.of(),
        change,
        result -> callback.accept(result instanceof TransactionResult.Committed));
  }

  private void write(
      List<Condition> conditions, Change change, Consumer<TransactionResult> callback) {
    List<Condition> allConditions = new ArrayList<>(conditions);
    allConditions.add(new Condition(Keys.LEADER, term.leaderRevision()));
    writeBudget.take(1);
    store.commit(new StateStore.Transaction(allConditions, List.of(change)), callback);
  }
}
