package org.ploverspindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.HttpStateStore;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.ChangedEntry;
import org.ploverspindle.state.StateStore.ChangesResult;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.PageResult;
import org.ploverspindle.state.StateStore.Renewal;
import org.ploverspindle.state.StateStore.Transaction;
import org.ploverspindle.state.StateStore.TransactionResult;

/**
 * The simulated state service, which follows the published protocol. Lost and late messages are
 * simulated by {@link SimNetwork}.
 */
final class SimStateStore {
  private record StoredValue(JsonNode value, long modRevision, Optional<Long> lease) {}

  private static final int MAX_HISTORY = 10_000;

  private final SimClock clock;
  private Settings.StateLimits limits;
  private boolean limitsChanged;
  private int refusedAsTooLarge;
  private int pagesRead;
  final RateLimiter requestLimiter;
  final RateLimiter changeLimiter;
  private final TreeMap<String, StoredValue> valuesByKey = new TreeMap<>();
  private final Map<Long, Long> leaseEndsMs = new HashMap<>();
  private final Map<Long, Long> leaseTtlsMs = new HashMap<>();
  private final List<ChangedEntry> history = new ArrayList<>();
  private int maxHistory = MAX_HISTORY;
  private long revision = 1;
  private long nextLease = 1;
  private boolean isOutage;
  private Runnable termListener = () -> {};
  private Consumer<Transaction> writeListener = transaction -> {};
  private String lostPrefix = "";

  SimStateStore(SimClock clock, Settings.StateLimits limits) {
    this.clock = clock;
    this.limits = limits;
    this.requestLimiter = new RateLimiter(clock, limits.requestsPerS(), 1);
    this.changeLimiter = new RateLimiter(clock, limits.changesPerS(), 1);
  }

  /** Sets the listener that runs with each write that makes a controller the leader of a term. */
  void onTermStart(Runnable listener) {
    termListener = listener;
  }

  /** Sets the listener for committed transactions that have changes. */
  void onWrite(Consumer<Transaction> listener) {
    writeListener = listener;
  }

  /** Injects a fault: changes of keys with this prefix are acknowledged and not executed. */
  void loseWritesUnder(String prefix) {
    lostPrefix = prefix;
  }

  private boolean losesWrite(String key) {
    return !lostPrefix.isEmpty() && key.startsWith(lostPrefix);
  }

  /** Number of transactions that were refused because they exceeded the limits. */
  int refusedAsTooLarge() {
    return refusedAsTooLarge;
  }

  /** Number of pages of keys that were read. */
  int pagesRead() {
    return pagesRead;
  }

  boolean containsKey(String key) {
    return valuesByKey.containsKey(key);
  }

  /** Number of keys with this prefix; does not count as a request. */
  int keyCount(String prefix) {
    return valuesByKey.subMap(prefix, prefix + Character.MAX_VALUE).size();
  }

  /** Size of the keys with this prefix and their values in JSON; does not count as a request. */
  long sizeInBytes(String prefix) {
    return valuesByKey.subMap(prefix, prefix + Character.MAX_VALUE).entrySet().stream()
        .mapToLong(entry -> entry.getKey().length() + Cbor.jsonSize(entry.getValue().value()))
        .sum();
  }

  /** Stores a value as if it was written before the run; does not count against the rate limits. */
  void preload(String key, JsonNode value) {
    revision++;
    valuesByKey.put(key, new StoredValue(value.deepCopy(), revision, Optional.empty()));
    addToHistory(new ChangedEntry(key, Optional.of(value.deepCopy()), revision));
  }

  /** Changes the limits from now on, without notice to the controllers. */
  void setLimits(Settings.StateLimits newLimits) {
    limits = newLimits;
    limitsChanged = true;
    requestLimiter.setRatePerSecond(newLimits.requestsPerS());
    changeLimiter.setRatePerSecond(newLimits.changesPerS());
  }

  /** Sets how many changes are kept, for long runs under a small heap. */
  void setMaxHistory(int changes) {
    maxHistory = changes;
  }

  private void addToHistory(ChangedEntry change) {
    history.add(change);
    if (history.size() > 2 * maxHistory) {
      history.subList(0, history.size() - maxHistory - 1).clear();
    }
  }

  /** The revision of the latest change. */
  long revision() {
    return revision;
  }

  /** The mod revision of the key; 0 if it does not exist. */
  long modRevision(String key) {
    StoredValue stored = valuesByKey.get(key);
    return stored == null ? 0 : stored.modRevision();
  }

  /** Whether a request is served; otherwise it gets 503 (outage) or 429 (above the rate limit). */
  boolean admitsRequest() {
    return !isOutage && requestLimiter.tryAcquire(1);
  }

  void setOutage(boolean active) {
    if (isOutage && !active) {
      // After an outage every lease has its full time to live again.
      leaseEndsMs.replaceAll((lease, endMs) -> clock.nowMs() + leaseTtlsMs.get(lease));
      leaseEndsMs.keySet().forEach(this::scheduleExpiry);
    }
    isOutage = active;
  }

  long openLease(long ttlMs) {
    long lease = nextLease++;
    leaseTtlsMs.put(lease, ttlMs);
    leaseEndsMs.put(lease, clock.nowMs() + ttlMs);
    scheduleExpiry(lease);
    return lease;
  }

  private void scheduleExpiry(long lease) {
    clock.after(
        leaseEndsMs.get(lease) - clock.nowMs(),
        () -> {
          Long endMs = leaseEndsMs.get(lease);
          if (endMs != null && !isOutage && endMs <= clock.nowMs()) {
            endLease(lease);
          }
        });
  }

  void endLease(long lease) {
    leaseEndsMs.remove(lease);
    List<String> attached =
        valuesByKey.entrySet().stream()
            .filter(entry -> entry.getValue().lease().equals(Optional.of(lease)))
            .map(Map.Entry::getKey)
            .toList();
    if (!attached.isEmpty()) {
      revision++;
      attached.forEach(this::remove);
    }
  }

  Renewal renewLease(long lease) {
    if (!leaseEndsMs.containsKey(lease)) {
      return Renewal.GONE;
    }
    leaseEndsMs.put(lease, clock.nowMs() + leaseTtlsMs.get(lease));
    scheduleExpiry(lease);
    return Renewal.RENEWED;
  }

  private void remove(String key) {
    if (valuesByKey.remove(key) != null) {
      addToHistory(new ChangedEntry(key, Optional.empty(), revision));
    }
  }

  /**
   * Whether the transaction is within the limits. One that is not would be refused on each retry:
   * it is a defect and fails the run. Only if the limits were changed during the run is it refused,
   * as by the real service. Announced lower limits apply from the start, since controllers are not
   * told when they take effect.
   */
  private boolean fitsLimits(Transaction transaction) {
    Settings.StateLimits lowest = limits.lowest();
    int bytes = HttpStateStore.encode(transaction).toString().length();
    boolean valuesFit =
        transaction.changes().stream()
            .allMatch(
                change ->
                    !(change instanceof Change.Put put)
                        || put.value().toString().length() <= lowest.maxValueBytes());
    if (transaction.changes().size() > lowest.maxChangesPerTransaction()
        || transaction.conditions().size() > 4 * lowest.maxChangesPerTransaction()
        || bytes > 64 * 1024
        || !valuesFit) {
      if (!limitsChanged) {
        throw new IllegalStateException(
            "transaction exceeds the limits of the state service: " + transaction);
      }
      refusedAsTooLarge++;
      return false;
    }
    return true;
  }

  private List<String> failedConditions(Transaction transaction) {
    List<String> failed = new ArrayList<>();
    for (Condition condition : transaction.conditions()) {
      StoredValue stored = valuesByKey.get(condition.key());
      if ((stored == null ? 0 : stored.modRevision()) != condition.modRevision()) {
        failed.add(condition.key());
      }
    }
    return failed;
  }

  private boolean putsUnderExpiredLease(Transaction transaction) {
    for (Change change : transaction.changes()) {
      if (change instanceof Change.Put put
          && put.lease().isPresent()
          && !leaseEndsMs.containsKey(put.lease().get())) {
        return true;
      }
    }
    return false;
  }

  TransactionResult commit(Transaction transaction) {
    if (!fitsLimits(transaction)) {
      return new TransactionResult.Refused(400);
    }
    if (!transaction.changes().isEmpty()
        && !changeLimiter.tryAcquire(transaction.changes().size())) {
      return new TransactionResult.Refused(429);
    }
    if (putsUnderExpiredLease(transaction)) {
      return new TransactionResult.NoSuchLease();
    }
    List<String> failed = failedConditions(transaction);
    if (!failed.isEmpty()) {
      return new TransactionResult.Conflict(failed);
    }
    revision++;
    for (Change change : transaction.changes()) {
      if (losesWrite(change.key())) {
        continue;
      }
      if (change instanceof Change.Put put) {
        valuesByKey.put(put.key(), new StoredValue(put.value().deepCopy(), revision, put.lease()));
        addToHistory(new ChangedEntry(put.key(), Optional.of(put.value().deepCopy()), revision));
      } else {
        remove(change.key());
      }
    }
    if (!transaction.changes().isEmpty()) {
      writeListener.accept(transaction);
    }
    if (transaction.changes().stream()
        .anyMatch(change -> change.key().equals(Keys.FENCING_TOKEN))) {
      termListener.run();
    }
    return new TransactionResult.Committed(revision);
  }

  PageResult readPage(String prefix, String after, int size) {
    pagesRead++;
    List<Entry> entries = new ArrayList<>();
    boolean hasNext = false;
    for (Map.Entry<String, StoredValue> entry : valuesByKey.tailMap(prefix, true).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (entries.size() == size) {
        hasNext = true;
        break;
      }
      entries.add(
          new Entry(entry.getKey(), entry.getValue().value(), entry.getValue().modRevision()));
    }
    return new PageResult.Page(entries, hasNext, revision);
  }

  ChangesResult readChanges(String prefix, long afterRevision) {
    if (history.size() > maxHistory
        && history.get(history.size() - maxHistory).modRevision() > afterRevision) {
      return new ChangesResult.TooOld();
    }
    List<ChangedEntry> newer = new ArrayList<>();
    for (int i = history.size() - 1; i >= 0 && history.get(i).modRevision() > afterRevision; i--) {
      if (history.get(i).key().startsWith(prefix)) {
        newer.add(0, history.get(i));
      }
    }
    return new ChangesResult.Changes(revision, newer);
  }

  /** Name of the controller that has the leadership, or an empty text. */
  String leaderName() {
    StoredValue stored = valuesByKey.get(Keys.LEADER);
    return stored == null ? "" : stored.value().path("member").asText();
  }

  /** The highest fencing token of the latest term, or 0 before the first term. */
  long highestFencingToken() {
    StoredValue stored = valuesByKey.get(Keys.FENCING_TOKEN);
    return stored == null ? 0 : stored.value().path("n").asLong();
  }
}
