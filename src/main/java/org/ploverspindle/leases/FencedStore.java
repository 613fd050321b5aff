package org.ploverspindle.leases;

import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.state.StateStore;

/**
 * The state service as the holder of a role uses it. Passes all calls on, and counts the
 * transactions that were refused because another holder's record has replaced the one they are
 * conditional on.
 */
public final class FencedStore implements StateStore {
  private final StateStore store;
  private final String holderKey;
  private final FencingRejections rejections;

  /**
   * @param holderKey the key of the record that names the holder
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
