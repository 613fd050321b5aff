package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The state service as this program sees it; answers arrive on the decision loop. */
public interface StateStore {

  record Entry(String key, JsonNode value, long modRevision) {}

  /** A key's version that must hold; 0: the key does not exist. */
  record Condition(String key, long modRevision) {}

  sealed interface Change {
    String key();

    record Put(String key, JsonNode value, Optional<Long> lease) implements Change {
      public Put(String key, JsonNode value) {
        this(key, value, Optional.empty());
      }
    }

    record Remove(String key) implements Change {}
  }

  record Transaction(List<Condition> conditions, List<Change> changes) {}

  sealed interface TransactionResult {
    record Committed(long revision) implements TransactionResult {}

    record Conflict(List<String> keys) implements TransactionResult {}

    record NoSuchLease() implements TransactionResult {}

    /** Certainly not executed: over a limit, or refused. */
    record Refused(int status) implements TransactionResult {}

    /** May have been executed, or may yet be: only reading back tells. */
    record Unknown() implements TransactionResult {}
  }

  sealed interface PageResult {
    record Page(List<Entry> entries, boolean hasNext, long revision) implements PageResult {}

    record Failed() implements PageResult {}
  }

  sealed interface ChangesResult {
    /** All changes after the revision asked for. An empty value is a removal. */
    record Changes(long revision, List<ChangedEntry> changes) implements ChangesResult {}

    record TooOld() implements ChangesResult {}

    record Failed() implements ChangesResult {}
  }

  record ChangedEntry(String key, Optional<JsonNode> value, long modRevision) {}

  enum Renewal {
    RENEWED,
    GONE,
    FAILED
  }

  void commit(Transaction txn, Consumer<TransactionResult> then);

  void readPage(String prefix, String after, int size, Consumer<PageResult> then);

  void readChanges(String prefix, long revision, Consumer<ChangesResult> then);

  void openLease(long ttlMs, Consumer<Optional<Long>> then);

  void renewLease(long lease, Consumer<Renewal> then);

  void closeLease(long lease);
}
