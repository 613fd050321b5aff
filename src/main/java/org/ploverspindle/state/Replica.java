package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedMap;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.ChangedEntry;
import org.ploverspindle.state.StateStore.ChangesResult;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.PageResult;

/**
 * This process's replica of the state service, brought up to date by short reads of what changed.
 *
 * <p>Each read is also a read barrier: it is sent after the requests that wait for it arrived, so
 * its result holds everything that any controller can have confirmed before then. One read serves
 * all requests that wait.
 */
public final class Replica {
  /** Notified of every change of a key; the entry is empty when the key was removed. */
  public interface Listener {
    /** Called after the change was applied to the replica. */
    void changed(String key, Optional<Entry> entry);
  }

  private static final int PAGE_SIZE = 500;

  private final Scheduler scheduler;
  private final StateStore store;
  private final String prefix;
  private final long idlePeriodMs;
  private final ReplicaEntries entries = new ReplicaEntries();
  private final ReadPacing pacing;

  private List<Consumer<Boolean>> waitingReaders = new ArrayList<>();
  private boolean urgentReadWaiting;
  private boolean readInFlight;
  private Optional<Cancellable> scheduledRead = Optional.empty();
  private long scheduledReadMs;

  private boolean loaded;
  private long revision;
  private long freshAsOfMs = ReadPacing.NEVER_MS;

  /**
   * @param prefix the prefix of the keys that are replicated
   * @param idlePeriodMs the longest time between two reads when nobody waits for one
   */
  public Replica(Scheduler scheduler, StateStore store, String prefix, long idlePeriodMs) {
    this.scheduler = scheduler;
    this.store = store;
    this.prefix = prefix;
    this.idlePeriodMs = idlePeriodMs;
    this.pacing = new ReadPacing(scheduler);
  }

  /**
   * Adds a listener. A listener that belongs to a term must be cancelled with it, since the replica
   * would keep the deposed leader's objects for the life of the process.
   */
  public Cancellable addListener(Listener listener) {
    return entries.addListener(listener);
  }

  /** Loads the replica, and keeps it up to date until it is cancelled. */
  public Cancellable start() {
    reload();
    return scheduler.scheduleWithFixedDelay(idlePeriodMs, () -> readIfOlderThan(idlePeriodMs));
  }

  /** Sets the average time between reads: this process's share of the state service's requests. */
  public void setReadInterval(long ms) {
    pacing.setInterval(ms);
  }

  /** Reads at once if the last read was sent at least this long ago. */
  public void readIfOlderThan(long ms) {
    if (pacing.isLastReadOlderThan(ms)) {
      read();
    }
  }

  /** Whether all keys were read at least once, and the changes since then can still be read. */
  public boolean isLoaded() {
    return loaded;
  }

  /** When the last answered read was sent: the replica holds all that was committed before then. */
  public long freshAsOfMs() {
    return freshAsOfMs;
  }

  /** The entry of a key; empty if the key does not exist. */
  public Optional<Entry> get(String key) {
    return entries.get(key);
  }

  /** The entries with this prefix in the order of their keys; an unmodifiable live view. */
  public SortedMap<String, Entry> withPrefix(String keyPrefix) {
    return entries.withPrefix(keyPrefix);
  }

  /** The text in a field of the key's value, if the key exists and the field is a text. */
  public Optional<String> text(String key, String field) {
    return get(key)
        .map(Entry::value)
        .map(value -> value.path(field))
        .filter(JsonNode::isTextual)
        .map(JsonNode::asText);
  }

  /**
   * Calls {@code then} with true once the replica holds everything that was committed before this
   * call, or with false if the state service could not be read.
   */
  public void readBarrier(Consumer<Boolean> callback) {
    waitingReaders.add(callback);
    urgentReadWaiting = true;
    scheduleRead();
  }

  /**
   * Like {@link #readBarrier}, for frequent requests that can wait: their reads leave half of the
   * share of requests to readers on which users wait.
   */
  public void lowPriorityReadBarrier(Consumer<Boolean> callback) {
    waitingReaders.add(callback);
    scheduleRead();
  }

  private void scheduleRead() {
    if (readInFlight) {
      return;
    }
    long dueMs = pacing.nextReadMs(urgentReadWaiting);
    if (scheduledRead.isPresent() && scheduledReadMs <= dueMs) {
      return;
    }
    scheduledRead.ifPresent(Cancellable::cancel);
    scheduledRead = Optional.empty();
    long waitMs = dueMs - scheduler.nowMs();
    if (waitMs <= 0) {
      read();
      return;
    }
    scheduledReadMs = dueMs;
    scheduledRead =
        Optional.of(
            scheduler.schedule(
                waitMs,
                () -> {
                  scheduledRead = Optional.empty();
                  read();
                }));
  }

  private void read() {
    if (readInFlight) {
      return;
    }
    if (!loaded) {
      reload();
      return;
    }
    readInFlight = true;
    pacing.readSent();
    long sentMs = pacing.lastSentMs();
    List<Consumer<Boolean>> servedReaders = takeWaitingReaders();
    urgentReadWaiting = false;
    store.readChanges(prefix, revision, result -> changesReceived(result, sentMs, servedReaders));
  }

  private List<Consumer<Boolean>> takeWaitingReaders() {
    List<Consumer<Boolean>> readers = waitingReaders;
    waitingReaders = new ArrayList<>();
    return readers;
  }

  private void changesReceived(
      ChangesResult result, long sentMs, List<Consumer<Boolean>> servedReaders) {
    readInFlight = false;
    if (result instanceof ChangesResult.Changes changes) {
      pacing.readSucceeded();
      changes.changes().forEach(entries::apply);
      revision = Math.max(revision, changes.revision());
      freshAsOfMs = Math.max(freshAsOfMs, sentMs);
      servedReaders.forEach(reader -> reader.accept(true));
    } else if (result instanceof ChangesResult.TooOld) {
      loaded = false;
      waitingReaders.addAll(servedReaders);
      urgentReadWaiting = true;
      reload();
    } else {
      pacing.readFailed();
      servedReaders.forEach(reader -> reader.accept(false));
    }
    if (!waitingReaders.isEmpty()) {
      scheduleRead();
    }
  }

  /**
   * Shows what a transaction of this process created as soon as it is answered, before a read
   * brings it. Only for keys that are created once and never change: a reader of the replica must
   * not conclude anything from which other keys are still missing.
   *
   * @param createdRevision the revision of the transaction
   */
  public void applyCreated(Change.Put put, long createdRevision) {
    // During a reload a page that was read before the key was created would make it seem removed.
    if (loaded) {
      entries.apply(new ChangedEntry(put.key(), Optional.of(put.value()), createdRevision));
    }
  }

  private void reload() {
    if (readInFlight) {
      return;
    }
    readInFlight = true;
    pacing.readSent();
    loadPage("", OptionalLong.empty(), new HashSet<>(), pacing.lastSentMs());
  }

  /**
   * Loads a page and those after it.
   *
   * @param after the last key of the page before; empty for the first page
   * @param firstRevision the revision of the first page, if this is a later one
   * @param loadedKeys the keys of the pages before
   * @param sentMs when the first page was requested
   */
  private void loadPage(
      String after, OptionalLong firstRevision, Set<String> loadedKeys, long sentMs) {
    store.readPage(
        prefix,
        after,
        PAGE_SIZE,
        result -> {
          if (!(result instanceof PageResult.Page page)) {
            reloadFailed();
            return;
          }
          String lastKey = after;
          for (Entry entry : page.entries()) {
            loadedKeys.add(entry.key());
            lastKey = entry.key();
            entries.apply(
                new ChangedEntry(entry.key(), Optional.of(entry.value()), entry.modRevision()));
          }
          // Changes that are made between pages are read afterwards, from the first page's
          // revision.
          long baseRevision = firstRevision.orElse(page.revision());
          if (page.hasNext() && !page.entries().isEmpty()) {
            loadPage(lastKey, OptionalLong.of(baseRevision), loadedKeys, sentMs);
          } else {
            reloadSucceeded(baseRevision, loadedKeys, sentMs);
          }
        });
  }

  private void reloadFailed() {
    readInFlight = false;
    pacing.readFailed();
    takeWaitingReaders().forEach(reader -> reader.accept(false));
    // Backs off: a service that just came back must not receive the reloads of all controllers at
    // once.
    scheduler.schedule(
        pacing.reloadBackoffMs(),
        () -> {
          if (!loaded) {
            reload();
          }
        });
  }

  private void reloadSucceeded(long baseRevision, Set<String> loadedKeys, long sentMs) {
    entries.retainOnly(loadedKeys);
    revision = baseRevision;
    readInFlight = false;
    loaded = true;
    pacing.readSucceeded();
    freshAsOfMs = Math.max(freshAsOfMs, sentMs);
    // Readers that wait may have arrived after the reload was sent: they need another read.
    scheduleRead();
  }
}
