package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The client of the state service. All results arrive on the event loop of the caller; each request
 * has exactly one.
 */
public interface StateStore {

  /** A key with its value, and the revision at which it was last written. */
  record Entry(String key, JsonNode value, long modRevision) {}

  /** The mod revision that a key must have; 0: the key must not exist. */
  record Condition(String key, long modRevision) {}

  /** A change of one key in a transaction. */
  sealed interface Change {
    /** The key that is changed. */
    String key();

    /** Writes a value; a key that is attached to a lease is removed when the lease expires. */
    record Put(String key, JsonNode value, Optional<Long> lease) implements Change {
      /** Without a lease. */
      public Put(String key, JsonNode value) {
        this(key, value, Optional.empty());
      }
    }

    /** Removes a key. */
    record Remove(String key) implements Change {}
  }

  /** Changes that are executed together if all conditions hold, and not at all otherwise. */
  record Transaction(List<Condition> conditions, List<Change> changes) {}

  /** The outcome of a transaction. */
  sealed interface TransactionResult {
    /** Executed; all its changes have this revision. */
    record Committed(long revision) implements TransactionResult {}

    /** Not executed, since the conditions on these keys do not hold. */
    record Conflict(List<String> keys) implements TransactionResult {}

    /** Not executed, since a lease that it names has expired. */
    record NoSuchLease() implements TransactionResult {}

    /**
     * Certainly not executed: not sent (status 0), malformed, beyond a limit, or rejected by a busy
     * service.
     */
    record Refused(int status) implements TransactionResult {}

    /** May have been executed, or may yet be: only a read barrier shows which. */
    record Unknown() implements TransactionResult {}
  }

  /** The result of reading a page. */
  sealed interface PageResult {
    /**
     * Entries in the order of their keys.
     *
     * @param hasNext whether entries follow the last one
     * @param revision the revision of the store at which the page was read
     */
    record Page(List<Entry> entries, boolean hasNext, long revision) implements PageResult {}

    /** No usable answer. */
    record Failed() implements PageResult {}
  }

  /** The result of reading changes. */
  sealed interface ChangesResult {
    /** All changes after the requested revision, up to this one. */
    record Changes(long revision, List<ChangedEntry> changes) implements ChangesResult {}

    /** The changes are no longer kept, or too many to be read: all keys must be read again. */
    record TooOld() implements ChangesResult {}

    /** No usable answer. */
    record Failed() implements ChangesResult {}
  }

  /** The latest change of a key; an empty value is a removal. */
  record ChangedEntry(String key, Optional<JsonNode> value, long modRevision) {}

  /** The outcome of renewing a lease. */
  enum Renewal {
    /** The lease lives for another time to live. */
    RENEWED,
    /** The lease has expired, and with it the keys that were attached to it. */
    GONE,
    /** No usable answer: the lease may have been renewed or not. */
    FAILED
  }

  /** Executes a transaction. */
  void commit(Transaction transaction, Consumer<TransactionResult> callback);

  /** Reads the first entries with a prefix whose keys come after {@code after}, or all if empty. */
  void readPage(String prefix, String after, int pageSize, Consumer<PageResult> callback);

  /** Reads the changes of keys with a prefix after a revision. */
  void readChanges(String prefix, long revision, Consumer<ChangesResult> callback);

  /** Opens a lease that expires when it is not renewed for {@code ttlMs}; empty if that failed. */
  void openLease(long ttlMs, Consumer<Optional<Long>> callback);

  /** Renews a lease. */
  void renewLease(long lease, Consumer<Renewal> callback);

  /** Ends a lease and removes the keys that are attached to it; without confirmation. */
  void closeLease(long lease);
}
