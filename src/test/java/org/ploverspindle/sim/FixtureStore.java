package org.ploverspindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.state.StateStore;

/**
 * A state service that serves a fixture's records on a single page, ordered by key. Transactions
 * and leases are ignored and never answered.
 */
record FixtureStore(JsonNode records) implements StateStore {
  static final String HEAD_F659783 = "/head-f659783-records.json";
  static final String PRODUCTION = "/production-records.json";
  private static final long REVISION = 7;

  static JsonNode fixture(String resource) throws IOException {
    try (var in = FixtureStore.class.getResourceAsStream(resource)) {
      return new ObjectMapper().readTree(in);
    }
  }

  List<Entry> entries() {
    return records.properties().stream()
        .map(e -> new Entry(e.getKey(), e.getValue(), REVISION))
        .sorted(Comparator.comparing(Entry::key))
        .toList();
  }

  List<Entry> under(String prefix) {
    return entries().stream().filter(e -> e.key().startsWith(prefix)).toList();
  }

  @Override
  public void readPage(String prefix, String after, int size, Consumer<PageResult> then) {
    then.accept(new PageResult.Page(under(prefix), false, REVISION));
  }

  @Override
  public void readChanges(String prefix, long revision, Consumer<ChangesResult> then) {
    then.accept(new ChangesResult.Changes(REVISION, List.of()));
  }

  @Override
  public void commit(Transaction transaction, Consumer<TransactionResult> then) {}

  @Override
  public void openLease(long ttlMs, Consumer<Optional<Long>> then) {}

  @Override
  public void renewLease(long lease, Consumer<Renewal> then) {}

  @Override
  public void closeLease(long lease) {}
}
