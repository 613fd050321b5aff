package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A client of the state service. Each request calls its callback exactly once, on the event loop of
 * the caller.
 */
public interface StateStore {

  /** A key, its value, and the revision of the state service at which the key was last written. */
  record Entry(String key, JsonNode value, long modRevision) {}

  /** The mod revision that a key must have; 0 requires that the key does not exist. */
  record Condition(String key, long modRevision) {}

  /** The change of one key in a transaction. */
  sealed interface Change {
    /** The key that is changed. */
    String key();

    /**
     * Writes the value of a key.
     *
     * @param lease the lease that the key is attached to, if any; the key is removed when the lease
     *     expires
     */
    record Put(String key, JsonNode value, Optional<Long> lease) implements Change {
      /** Creates a write of a key that is not attached to a lease. */
      public Put(String key, JsonNode value) {
        this(key, value, Optional.empty());
      }
    }

    /** Removes a key. */
    record Remove(String key) implements Change {}
  }

  /** Changes that are executed atomically if all conditions hold, and not at all otherwise. */
  record Transaction(List<Condition> conditions, List<Change> changes) {}

  /** The outcome of a transaction. */
  sealed interface TransactionResult {
    /** The transaction was executed, and all its changes have this revision. */
    record Committed(long revision) implements TransactionResult {}

    /** The transaction was not executed, because the conditions on these keys do not hold. */
    record Conflict(List<String> keys) implements TransactionResult {}

    /** The transaction was not executed, because a lease that it refers to has expired. */
    record NoSuchLease() implements TransactionResult {}

    /**
     * The transaction was certainly not executed: it was not sent, was malformed, exceeded a limit,
     * or was rejected by an overloaded state service.
     *
     * @param status the HTTP status; 0 if the request was not sent
     */
    record Refused(int status) implements TransactionResult {}

    /**
     * The transaction may have been executed, or may still be executed later. Whether it was
     * executed so far is visible only after a read barrier.
     */
    record Unknown() implements TransactionResult {}
  }

  /** The result of reading a page. */
  sealed interface PageResult {
    /**
     * A page of entries in the order of their keys.
     *
     * @param hasNext whether more entries follow the last one of this page
     * @param revision the revision of the state service at which the page was read
     */
    record Page(List<Entry> entries, boolean hasNext, long revision) implements PageResult {}

    /** No valid response was received. */
    record Failed() implements PageResult {}
  }

  /** The result of reading changes. */
  sealed interface ChangesResult {
    /** All changes after the requested revision, up to and including {@code revision}. */
    record Changes(long revision, List<ChangedEntry> changes) implements ChangesResult {}

    /**
     * The state service no longer keeps the changes, or the response is too large for the client.
     * All keys must be read again in pages.
     */
    record TooOld() implements ChangesResult {}

    /** No valid response was received. */
    record Failed() implements ChangesResult {}
  }

  /** The latest change of a key; the value is empty if the key was removed. */
  record ChangedEntry(String key, Optional<JsonNode> value, long modRevision) {}

  /** The outcome of renewing a lease. */
  enum Renewal {
    /** The lease was renewed for its whole time to live. */
    RENEWED,
    /** The lease has expired, and the keys that were attached to it were removed. */
    GONE,
    /** No valid response was received, so the lease may or may not have been renewed. */
    FAILED
  }

  /** Executes a transaction if all its conditions hold. */
  void commit(Transaction transaction, Consumer<TransactionResult> callback);

  /**
   * Reads the first entries with a prefix in key order.
   *
   * @param after only entries with keys after this one are read; empty to start at the first entry
   * @param pageSize the largest number of entries in the page
   */
  void readPage(String prefix, String after, int pageSize, Consumer<PageResult> callback);

  /** Reads the changes of keys with a prefix that were made after a revision. */
  void readChanges(String prefix, long revision, Consumer<ChangesResult> callback);

  /**
   * Opens a lease that expires when it is not renewed for {@code ttlMs} milliseconds. The callback
   * receives the id of the lease, or empty if no response confirmed that it was opened.
   */
  void openLease(long ttlMs, Consumer<Optional<Long>> callback);

  /** Renews a lease for its whole time to live. */
  void renewLease(long lease, Consumer<Renewal> callback);

  /**
   * Ends a lease and removes the keys that are attached to it. The caller does not learn whether
   * this succeeded; otherwise the lease expires after its time to live.
   */
  void closeLease(long lease);
}
