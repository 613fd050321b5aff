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

/** Stand-in for the state service, by its published protocol; faults are the network's business. */
final class SimStateStore {
  private record Kept(JsonNode value, long stamp, Optional<Long> hold) {}

  private static final int HISTORY = 10_000;

  private final SimClock clock;
  private Settings.StateLimits limits;
  private boolean limitsFell;
  private int tooLarge;
  private int pages;
  final RateLimiter requests;
  final RateLimiter changes;
  private final TreeMap<String, Kept> keys = new TreeMap<>();
  private final Map<Long, Long> holdEndsMs = new HashMap<>();
  private final Map<Long, Long> holdTtlMs = new HashMap<>();
  private final List<ChangedEntry> history = new ArrayList<>();
  private long ledger = 1;
  private long nextHold = 1;
  private boolean out;
  private Runnable newTerm = () -> {};
  private Consumer<Transaction> written = txn -> {};
  private String lostPrefix = "";

  SimStateStore(SimClock clock, Settings.StateLimits limits) {
    this.clock = clock;
    this.limits = limits;
    this.requests = new RateLimiter(clock, limits.requestsPerS(), 1);
    this.changes = new RateLimiter(clock, limits.changesPerS(), 1);
  }

  /** To be run whenever a controller comes to lead, at the moment of the write that makes it so. */
  void whenATermBegins(Runnable then) {
    newTerm = then;
  }

  /** To be told of every transaction that is carried out and changes something. */
  void whenWritten(Consumer<Transaction> then) {
    written = then;
  }

  /** A planted fault: what is put under the prefix is acknowledged and not kept. */
  void losesUnder(String prefix) {
    lostPrefix = prefix;
  }

  private boolean isLost(String key) {
    return !lostPrefix.isEmpty() && key.startsWith(lostPrefix);
  }

  /** How many transactions were refused for their size. */
  int tooLarge() {
    return tooLarge;
  }

  /** How many pages of keys were read. */
  int pages() {
    return pages;
  }

  boolean holds(String key) {
    return keys.containsKey(key);
  }

  /** How many keys there are of this prefix; no request. */
  int keysUnder(String prefix) {
    return keys.subMap(prefix, prefix + Character.MAX_VALUE).size();
  }

  /** The names and the values of the prefix's keys in JSON form; no request. */
  long bytesUnder(String prefix) {
    return keys.subMap(prefix, prefix + Character.MAX_VALUE).entrySet().stream()
        .mapToLong(e -> e.getKey().length() + Cbor.jsonSize(e.getValue().value()))
        .sum();
  }

  /** This stood there before the run began, and cost nothing of its rates. */
  void stoodBefore(String key, JsonNode value) {
    ledger++;
    keys.put(key, new Kept(value.deepCopy(), ledger, Optional.empty()));
    history.add(new ChangedEntry(key, Optional.of(value.deepCopy()), ledger));
  }

  /** From now on these are the limits; nobody is told. */
  void limits(Settings.StateLimits now) {
    limits = now;
    limitsFell = true;
    requests.perSecond(now.requestsPerS());
    changes.perSecond(now.changesPerS());
  }

  /** False when a request is answered 503 or 429. */
  boolean serves() {
    return !out && requests.take(1);
  }

  void outage(boolean now) {
    if (out && !now) {
      // After an outage every hold has its full time again.
      holdEndsMs.replaceAll((h, end) -> clock.nowMs() + holdTtlMs.get(h));
      holdEndsMs.keySet().forEach(this::watch);
    }
    out = now;
  }

  long openLease(long ttlMs) {
    long id = nextHold++;
    holdTtlMs.put(id, ttlMs);
    holdEndsMs.put(id, clock.nowMs() + ttlMs);
    watch(id);
    return id;
  }

  private void watch(long id) {
    clock.at(
        holdEndsMs.get(id) - clock.nowMs(),
        () -> {
          Long end = holdEndsMs.get(id);
          if (end != null && !out && end <= clock.nowMs()) {
            endHold(id);
          }
        });
  }

  void endHold(long id) {
    holdEndsMs.remove(id);
    List<String> attached =
        keys.entrySet().stream()
            .filter(e -> e.getValue().hold().equals(Optional.of(id)))
            .map(Map.Entry::getKey)
            .toList();
    if (!attached.isEmpty()) {
      ledger++;
      attached.forEach(this::remove);
    }
  }

  Renewal renew(long id) {
    if (!holdEndsMs.containsKey(id)) {
      return Renewal.GONE;
    }
    holdEndsMs.put(id, clock.nowMs() + holdTtlMs.get(id));
    watch(id);
    return Renewal.RENEWED;
  }

  private void remove(String key) {
    if (keys.remove(key) != null) {
      history.add(new ChangedEntry(key, Optional.empty(), ledger));
    }
  }

  /**
   * A transaction beyond the limits would be refused for ever: a defect, not a fault to live with,
   * unless the limits fell in this run. Then it is refused, as the service does. Limits that are
   * announced count from the start on, as nobody is told of the moment.
   */
  private boolean withinLimits(Transaction txn) {
    Settings.StateLimits lowest = limits.lowest();
    int bytes = HttpStateStore.encode(txn).toString().length();
    boolean valuesFit =
        txn.changes().stream()
            .allMatch(
                c ->
                    !(c instanceof Change.Put put)
                        || put.value().toString().length() <= lowest.maxValueBytes());
    if (txn.changes().size() > lowest.maxChangesPerTransaction()
        || txn.conditions().size() > 4 * lowest.maxChangesPerTransaction()
        || bytes > 64 * 1024
        || !valuesFit) {
      if (!limitsFell) {
        throw new IllegalStateException("a transaction is beyond the limits: " + txn);
      }
      tooLarge++;
      return false;
    }
    return true;
  }

  private List<String> failedConditions(Transaction txn) {
    List<String> failed = new ArrayList<>();
    for (Condition c : txn.conditions()) {
      Kept kept = keys.get(c.key());
      if ((kept == null ? 0 : kept.stamp()) != c.modRevision()) {
        failed.add(c.key());
      }
    }
    return failed;
  }

  private boolean putsUnderEndedLease(Transaction txn) {
    for (Change change : txn.changes()) {
      if (change instanceof Change.Put put
          && put.lease().isPresent()
          && !holdEndsMs.containsKey(put.lease().get())) {
        return true;
      }
    }
    return false;
  }

  TransactionResult txn(Transaction txn) {
    if (!withinLimits(txn)) {
      return new TransactionResult.Refused(400);
    }
    if (!txn.changes().isEmpty() && !changes.take(txn.changes().size())) {
      return new TransactionResult.Refused(429);
    }
    if (putsUnderEndedLease(txn)) {
      return new TransactionResult.NoSuchLease();
    }
    List<String> failed = failedConditions(txn);
    if (!failed.isEmpty()) {
      return new TransactionResult.Conflict(failed);
    }
    ledger++;
    for (Change change : txn.changes()) {
      if (isLost(change.key())) {
        continue;
      }
      if (change instanceof Change.Put put) {
        keys.put(put.key(), new Kept(put.value().deepCopy(), ledger, put.lease()));
        history.add(new ChangedEntry(put.key(), Optional.of(put.value().deepCopy()), ledger));
      } else {
        remove(change.key());
      }
    }
    if (!txn.changes().isEmpty()) {
      written.accept(txn);
    }
    if (txn.changes().stream().anyMatch(c -> c.key().equals(Keys.TOKEN))) {
      newTerm.run();
    }
    return new TransactionResult.Committed(ledger);
  }

  PageResult page(String prefix, String after, int size) {
    pages++;
    List<Entry> entries = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Kept> e : keys.tailMap(prefix, true).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        break;
      }
      if (e.getKey().compareTo(after) <= 0) {
        continue;
      }
      if (entries.size() == size) {
        more = true;
        break;
      }
      entries.add(new Entry(e.getKey(), e.getValue().value(), e.getValue().stamp()));
    }
    return new PageResult.Page(entries, more, ledger);
  }

  ChangesResult changesAfter(String prefix, long after) {
    if (history.size() > HISTORY && history.get(history.size() - HISTORY).modRevision() > after) {
      return new ChangesResult.TooOld();
    }
    List<ChangedEntry> newer = new ArrayList<>();
    for (int i = history.size() - 1; i >= 0 && history.get(i).modRevision() > after; i--) {
      if (history.get(i).key().startsWith(prefix)) {
        newer.add(0, history.get(i));
      }
    }
    return new ChangesResult.Changes(ledger, newer);
  }

  /** The member that holds the lead, or an empty text. */
  String leader() {
    Kept kept = keys.get(Keys.LEADER);
    return kept == null ? "" : kept.value().path("member").asText();
  }

  /** The last token of the last term, or 0. */
  long highestToken() {
    Kept kept = keys.get(Keys.TOKEN);
    return kept == null ? 0 : kept.value().path("n").asLong();
  }
}
