package org.ploverspindle.state;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.ploverspindle.leadership.Term;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.TxnResult;

/**
 * Single writes of a leader besides progress: bound to the leader key, read back when unanswered.
 */
public final class LeaderWrites {
  private final StateStore store;
  private final Replica replica;
  private final TokenBucket writes;
  private final Term term;

  public LeaderWrites(StateStore store, Replica replica, TokenBucket writes, Term term) {
    this.store = store;
    this.replica = replica;
    this.writes = writes;
    this.term = term;
  }

  /** True when the writer's share allows more that can wait. */
  public boolean spare() {
    return writes.available() >= 2;
  }

  /** Creates the key; true when it stands, false when it is not known to. */
  public void create(Change.Put put, Consumer<Boolean> then) {
    write(
        List.of(new Condition(put.key(), 0)),
        put,
        result -> {
          if (result instanceof TxnResult.Committed) {
            then.accept(true);
          } else if (result instanceof TxnResult.Refused) {
            then.accept(false);
          } else {
            replica.barrier(
                ok ->
                    then.accept(
                        ok
                            && replica
                                .get(put.key())
                                .filter(e -> e.value().equals(put.value()))
                                .isPresent()));
          }
        });
  }

  /** Writes or removes a key whose loss costs nothing but time. */
  public void tell(Change change, Consumer<Boolean> then) {
    write(List.of(), change, result -> then.accept(result instanceof TxnResult.Committed));
  }

  private void write(List<Condition> conditions, Change change, Consumer<TxnResult> then) {
    List<Condition> all = new ArrayList<>(conditions);
    all.add(new Condition(Keys.LEADER, term.leaderStamp()));
    writes.take(1);
    store.txn(new StateStore.Txn(all, List.of(change)), then);
  }
}
