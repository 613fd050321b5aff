package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.state.StateStore.ChangedEntry;
import org.ploverspindle.state.StateStore.Entry;

/**
 * The entries of a replica, and the listeners that are notified of their changes.
 *
 * <p>The keys of accepted jobs, completions and cancellations are created once, never removed, and
 * grow in number for as long as the service runs. No entries are kept for them: listeners are
 * notified of acceptances, perhaps repeatedly, and {@link EndedJobs} has the rest.
 */
final class ReplicaEntries {
  private final EndedJobs endedJobs;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Replica.Listener> listeners = new ArrayList<>();

  ReplicaEntries(EndedJobs endedJobs) {
    this.endedJobs = endedJobs;
  }

  Cancellable addListener(Replica.Listener listener) {
    listeners.add(listener);
    return () -> listeners.remove(listener);
  }

  Optional<Entry> get(String key) {
    return Optional.ofNullable(entries.get(key));
  }

  SortedMap<String, Entry> withPrefix(String prefix) {
    return Collections.unmodifiableSortedMap(entries.subMap(prefix, prefix + Character.MAX_VALUE));
  }

  /** Applies a change, unless this change or a later change of the key was already applied. */
  void apply(ChangedEntry change) {
    if (isForEndedJobs(change.key())) {
      change.value().ifPresent(value -> applyPermanent(change, value));
      return;
    }
    Entry current = entries.get(change.key());
    if (current != null && current.modRevision() >= change.modRevision()) {
      return;
    }
    if (change.value().isPresent() && isListOfEndedJob(change.key())) {
      return;
    }
    if (change.value().isPresent()) {
      Entry entry = new Entry(change.key(), change.value().get(), change.modRevision());
      entries.put(change.key(), entry);
      notifyListeners(change.key(), Optional.of(entry));
    } else if (current != null) {
      entries.remove(change.key());
      notifyListeners(change.key(), Optional.empty());
    }
  }

  private boolean isListOfEndedJob(String key) {
    return key.startsWith(Keys.DEPENDENCIES) && endedJobs.isEnded(Keys.jobOfDependencies(key));
  }

  /** Whether the key is created once, and its entry is not kept. */
  private static boolean isForEndedJobs(String key) {
    return Keys.isAcceptance(key)
        || key.startsWith(Keys.COMPLETIONS)
        || key.startsWith(Keys.CANCELLATIONS);
  }

  private void applyPermanent(ChangedEntry change, JsonNode value) {
    String key = change.key();
    boolean isNew = true;
    if (key.startsWith(Keys.COMPLETIONS)) {
      isNew = endedJobs.markDone(key.substring(Keys.COMPLETIONS.length()), value);
    } else if (key.startsWith(Keys.CANCELLATIONS)) {
      isNew = endedJobs.markCancelled(key.substring(Keys.CANCELLATIONS.length()));
    }
    if (isNew) {
      notifyListeners(key, Optional.of(new Entry(key, value, change.modRevision())));
    }
  }

  /** Removes the entries with this prefix without notifying listeners. */
  void drop(String prefix) {
    entries.subMap(prefix, prefix + Character.MAX_VALUE).clear();
  }

  /** Notifies listeners that a page of job records was applied. */
  void jobRecordsLoaded() {
    List.copyOf(listeners).forEach(Replica.Listener::jobRecordsLoaded);
  }

  /**
   * Removes the entries in a range of keys that a page of the state service does not contain.
   *
   * @param prefix the prefix of the keys in the range
   * @param after the range begins after this key; empty to begin at the first key
   * @param last the last key of the range; empty if it ends with the last key with the prefix
   * @param keys the keys of the page
   * @param pageRevision the revision of the page; entries that were changed later are kept
   */
  void removeMissing(
      String prefix, String after, Optional<String> last, Set<String> keys, long pageRevision) {
    NavigableMap<String, Entry> range =
        entries
            .tailMap(after.isEmpty() ? prefix : after, after.isEmpty())
            .headMap(last.orElse(prefix + Character.MAX_VALUE), true);
    List<String> removed =
        range.values().stream()
            .filter(entry -> entry.modRevision() <= pageRevision && !keys.contains(entry.key()))
            .map(Entry::key)
            .toList();
    for (String key : removed) {
      entries.remove(key);
      notifyListeners(key, Optional.empty());
    }
  }

  private void notifyListeners(String key, Optional<Entry> entry) {
    for (Replica.Listener listener : List.copyOf(listeners)) {
      listener.changed(key, entry);
    }
  }
}
