package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.ChangedEntry;
import org.ploverspindle.state.StateStore.ChangesResult;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.PageResult;

/**
 * This node's copy of the state service, brought up to date by short reads of what changed.
 *
 * <p>Every such read is also the barrier that answers need: it was sent after the questions that
 * wait for it had come, so what it returns holds everything that any node can have been told before
 * then. One read serves all questions that wait.
 */
public final class Replica {
  /** Told of every change of a key; the entry is empty when the key is gone. */
  public interface Listener {
    void changed(String key, Optional<Entry> entry);
  }

  private static final int PAGE = 500;
  private static final long FIRST_SPACING_MS = 150;

  /** So many reads may go out ahead of this node's share. */
  private static final long BURST = 2;

  /** Who has time gets half of the share, so that the other half is there for who has not. */
  private static final long PATIENT_SPACINGS = 2;

  private final Scheduler scheduler;
  private final StateStore store;
  private final String prefix;
  private final long idlePeriodMs;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Listener> listeners = new ArrayList<>();
  private List<Consumer<Boolean>> waitingReaders = new ArrayList<>();
  private boolean isLoaded;
  private boolean busy;
  private Optional<Cancellable> planned = Optional.empty();
  private long plannedMs;

  /** Somebody waits who should not wait for long. */
  private boolean urgentReadWaiting;

  /** Until then this node's share of requests is used up by the reads that went out. */
  private long spentUntilMs = Long.MIN_VALUE / 2;

  private long revision;
  private long lastSentMs = Long.MIN_VALUE / 2;
  private long freshAsOfMs = Long.MIN_VALUE / 2;
  private int failures;
  private long readIntervalMs = FIRST_SPACING_MS;

  public Replica(Scheduler scheduler, StateStore store, String prefix, long idlePeriodMs) {
    this.scheduler = scheduler;
    this.store = store;
    this.prefix = prefix;
    this.idlePeriodMs = idlePeriodMs;
  }

  /** Cancelled with the term of whoever listens: a leader that was must not be kept for ever. */
  public Cancellable addListener(Listener listener) {
    listeners.add(listener);
    return () -> listeners.remove(listener);
  }

  public Cancellable start() {
    reload();
    return scheduler.every(idlePeriodMs, this::readIfIdle);
  }

  /** Reads go out this far apart on average: this node's share of the state service's requests. */
  public void setReadInterval(long ms) {
    readIntervalMs = ms;
  }

  private void readIfIdle() {
    readIfOlderThan(idlePeriodMs);
  }

  public void readIfOlderThan(long ms) {
    if (scheduler.nowMs() - lastSentMs >= ms * (1 + failures)) {
      read();
    }
  }

  public boolean isLoaded() {
    return isLoaded;
  }

  /** When the last answered read was sent: the copy holds all that was true then. */
  public long freshAsOfMs() {
    return freshAsOfMs;
  }

  public Optional<Entry> get(String key) {
    return Optional.ofNullable(entries.get(key));
  }

  public SortedMap<String, Entry> withPrefix(String keyPrefix) {
    return entries.subMap(keyPrefix, keyPrefix + Character.MAX_VALUE);
  }

  /**
   * Calls {@code then} once the copy has reached a state read after this call, or with false when
   * it could not be read.
   */
  public void readBarrier(Consumer<Boolean> then) {
    waitingReaders.add(then);
    urgentReadWaiting = true;
    planRead();
  }

  /**
   * The same for who has time: questions come all the while, and the reads that each would have at
   * once are left to those whose users wait to go on.
   */
  public void lowPriorityReadBarrier(Consumer<Boolean> then) {
    waitingReaders.add(then);
    planRead();
  }

  private void planRead() {
    if (busy) {
      return;
    }
    long dueMs = dueMs();
    if (planned.isPresent() && plannedMs <= dueMs) {
      return;
    }
    planned.ifPresent(Cancellable::cancel);
    planned = Optional.empty();
    long wait = dueMs - scheduler.nowMs();
    if (wait <= 0) {
      read();
    } else {
      plannedMs = dueMs;
      planned =
          Optional.of(
              scheduler.schedule(
                  wait,
                  () -> {
                    planned = Optional.empty();
                    read();
                  }));
    }
  }

  /** When the next read may go out, given who waits for it. */
  private long dueMs() {
    if (failures > 0) {
      // Wider apart while reads fail: polls must not use up the requests that leadership needs.
      return lastSentMs + Math.min(600, readIntervalMs * (1 + failures));
    }
    if (urgentReadWaiting) {
      return spentUntilMs - BURST * readIntervalMs;
    }
    return lastSentMs + Math.min(600, PATIENT_SPACINGS * readIntervalMs);
  }

  private void read() {
    if (busy) {
      return;
    }
    if (!isLoaded) {
      reload();
      return;
    }
    busy = true;
    sending();
    long sentMs = lastSentMs;
    List<Consumer<Boolean>> served = waitingReaders;
    waitingReaders = new ArrayList<>();
    urgentReadWaiting = false;
    store.readChanges(prefix, revision, news -> received(news, sentMs, served));
  }

  private void received(ChangesResult news, long sentMs, List<Consumer<Boolean>> served) {
    busy = false;
    if (news instanceof ChangesResult.Changes changes) {
      failures = 0;
      for (ChangedEntry c : changes.changes()) {
        apply(c);
      }
      revision = Math.max(revision, changes.revision());
      freshAsOfMs = Math.max(freshAsOfMs, sentMs);
      served.forEach(w -> w.accept(true));
    } else if (news instanceof ChangesResult.TooOld) {
      isLoaded = false;
      waitingReaders.addAll(served);
      urgentReadWaiting = true;
      reload();
    } else {
      failures++;
      served.forEach(w -> w.accept(false));
    }
    if (!waitingReaders.isEmpty()) {
      planRead();
    }
  }

  /**
   * Shows what a transaction of this node created as soon as its answer is there, ahead of the
   * reads, which bring it again. Only for keys that are created once and never change: a reader of
   * the replica must not conclude anything from what such a key is shown without.
   *
   * @param revision the revision of the transaction
   */
  public void applyCreated(Change.Put put, long revision) {
    // While it is read anew a page that is older than the key would seem to say that it is gone.
    if (isLoaded) {
      apply(new ChangedEntry(put.key(), Optional.of(put.value()), revision));
    }
  }

  private void apply(ChangedEntry c) {
    Entry known = entries.get(c.key());
    if (known != null && known.modRevision() >= c.modRevision()) {
      return;
    }
    if (c.value().isPresent()) {
      Entry entry = new Entry(c.key(), c.value().get(), c.modRevision());
      entries.put(c.key(), entry);
      notifyAll(c.key(), Optional.of(entry));
    } else if (known != null) {
      entries.remove(c.key());
      notifyAll(c.key(), Optional.empty());
    }
  }

  private void notifyAll(String key, Optional<Entry> entry) {
    for (Listener l : List.copyOf(listeners)) {
      l.changed(key, entry);
    }
  }

  private void sending() {
    lastSentMs = scheduler.nowMs();
    spentUntilMs = Math.max(spentUntilMs, lastSentMs) + readIntervalMs;
  }

  private void reload() {
    if (busy) {
      return;
    }
    busy = true;
    sending();
    long sentMs = lastSentMs;
    loadPage("", -1, new HashSet<>(), sentMs);
  }

  private void loadPage(String after, long firstLedger, Set<String> seen, long sentMs) {
    store.readPage(
        prefix,
        after,
        PAGE,
        result -> {
          if (!(result instanceof PageResult.Page page)) {
            reloadFailed();
            return;
          }
          String lastKey = after;
          for (Entry e : page.entries()) {
            seen.add(e.key());
            lastKey = e.key();
            apply(new ChangedEntry(e.key(), Optional.of(e.value()), e.modRevision()));
          }
          // Changes made while pages are read are read again from the first page's revision on.
          long base = firstLedger < 0 ? page.revision() : firstLedger;
          if (page.hasNext() && !page.entries().isEmpty()) {
            loadPage(lastKey, base, seen, sentMs);
          } else {
            loadedAll(base, seen, sentMs);
          }
        });
  }

  private void reloadFailed() {
    busy = false;
    failures++;
    List<Consumer<Boolean>> served = waitingReaders;
    waitingReaders = new ArrayList<>();
    served.forEach(w -> w.accept(false));
    // Backs off: a service that just came back must not be met by all nodes' reloads at once.
    scheduler.schedule(
        Math.min(2_000, 200L * failures),
        () -> {
          if (!isLoaded) {
            reload();
          }
        });
  }

  private void loadedAll(long base, Set<String> seen, long sentMs) {
    for (String gone : entries.keySet().stream().filter(k -> !seen.contains(k)).toList()) {
      entries.remove(gone);
      notifyAll(gone, Optional.empty());
    }
    revision = base;
    busy = false;
    isLoaded = true;
    failures = 0;
    freshAsOfMs = Math.max(freshAsOfMs, sentMs);
    // Everybody waiting asked before this load ended, not before it began: read once more.
    planRead();
  }

  /** The value of a key, when it is a text. */
  public Optional<String> text(String key, String field) {
    return get(key)
        .map(Entry::value)
        .map(v -> v.path(field))
        .filter(JsonNode::isTextual)
        .map(JsonNode::asText);
  }
}
