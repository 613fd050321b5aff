package org.ploverspindle.leases;

import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.state.StateStore;

/**
 * A client of the state service for the holder of a role. It forwards all calls to another client,
 * and counts the transactions that failed because the holder's record, which they are conditional
 * on, was replaced or removed.
 */
public final class FencedStore implements StateStore {
  private final StateStore store;
  private final String holderKey;
  private final FencingRejections rejections;

  /**
   * @param store the client that all calls are forwarded to
   * @param holderKey the key of the record that names the holder of the role
   * @param rejections counts the failed transactions
   */
  public FencedStore(StateStore store, String holderKey, FencingRejections rejections) {
    this.store = store;
    this.holderKey = holderKey;
    this.rejections = rejections;
  }

  @Override
  public void commit(Transaction transaction, Consumer<TransactionResult> callback) {
    store.commit(
        transaction,
        result -> {
          if (result instanceof TransactionResult.Conflict conflict
              && conflict.keys().contains(holderKey)) {
            rejections.add(FencingRejections.Kind.STATE_WRITE);
          }
          callback.accept(result);
        });
  }

  @Override
  public void readPage(String prefix, String after, int pageSize, Consumer<PageResult> callback) {
    store.readPage(prefix, after, pageSize, callback);
  }

  @Override
  public void readChanges(String prefix, long revision, Consumer<ChangesResult> callback) {
    store.readChanges(prefix, revision, callback);
  }

  @Override
  public void openLease(long ttlMs, Consumer<Optional<Long>> callback) {
    store.openLease(ttlMs, callback);
  }

  @Override
  public void renewLease(long lease, Consumer<Renewal> callback) {
    store.renewLease(lease, callback);
  }

  @Override
  public void closeLease(long lease) {
    store.closeLease(lease);
  }
}
