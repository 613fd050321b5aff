package org.ploverspindle.state;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.ploverspindle.model.Term;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.TransactionResult;

/**
 * Writes single keys for the leader, except for task progress. Each write has the condition that
 * the leader key still has the mod revision that this term wrote, so that writes of a deposed
 * leader fail.
 */
public final class LeaderWriter {
  /** The HTTP status of a transaction that is malformed or exceeds a limit of the state service. */
  private static final int BAD_REQUEST = 400;

  /** The number of writes of the budget that are reserved for writes that can't wait. */
  private static final double RESERVED_WRITES = 2;

  private final StateStore store;
  private final Replica replica;
  private final TokenBucket writeBudget;
  private final Term term;

  /**
   * @param writeBudget limits the rate of changes that this process makes in the state service
   */
  public LeaderWriter(StateStore store, Replica replica, TokenBucket writeBudget, Term term) {
    this.store = store;
    this.replica = replica;
    this.writeBudget = writeBudget;
    this.term = term;
  }

  /** Returns whether the budget allows a write that can wait, beyond the reserved writes. */
  public boolean hasSpareBudget() {
    return writeBudget.available() >= RESERVED_WRITES;
  }

  /** What is known about a key after an attempt to create it. */
  public enum CreateOutcome {
    /** The key exists with the given value. */
    CREATED,
    /** The key was certainly not created, and won't be by this write. */
    REFUSED,
    /** The key was certainly not created, because it exceeds a limit of the state service. */
    TOO_LARGE,
    /** The key may exist, or may still be created by a write that is executed late. */
    UNKNOWN
  }

  /**
   * Creates the key. If the response does not show whether the key was created with this value,
   * reads it back behind a read barrier.
   */
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

  /**
   * Writes or removes a key once, without a retry. Callers must remain correct if the change is
   * lost; a lost change may only delay later work.
   *
   * @param callback receives whether the change was certainly executed
   */
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
