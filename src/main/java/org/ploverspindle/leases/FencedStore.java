package org.ploverspindle.leases;

import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.state.StateStore;

/**
 * The state service as a holder of a duty uses it: counts the transactions that were refused since
 * the holder's record is not the one that they were bound to.
 */
public final class FencedStore implements StateStore {
  private final StateStore store;
  private final String holderKey;
  private final FencingRejections refused;

  /**
   * @param holderKey the record that says who holds the duty
   */
  public FencedStore(StateStore store, String holderKey, FencingRejections refused) {
    this.store = store;
    this.holderKey = holderKey;
    this.refused = refused;
  }

  @Override
  public void commit(Transaction txn, Consumer<TransactionResult> then) {
    store.commit(
        txn,
        result -> {
          if (result instanceof TransactionResult.Conflict conflict
              && conflict.keys().contains(holderKey)) {
            refused.add(FencingRejections.Kind.STATE_WRITE);
          }
          then.accept(result);
        });
  }

  @Override
  public void readPage(String prefix, String after, int size, Consumer<PageResult> then) {
    store.readPage(prefix, after, size, then);
  }

  @Override
  public void readChanges(String prefix, long ledger, Consumer<ChangesResult> then) {
    store.readChanges(prefix, ledger, then);
  }

  @Override
  public void openLease(long ttlMs, Consumer<Optional<Long>> then) {
    store.openLease(ttlMs, then);
  }

  @Override
  public void renewLease(long lease, Consumer<Renewal> then) {
    store.renewLease(lease, then);
  }

  @Override
  public void closeLease(long lease) {
    store.closeLease(lease);
  }
}
