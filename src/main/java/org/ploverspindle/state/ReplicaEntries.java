package org.ploverspindle.state;

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

/** The entries of a replica, and the listeners that are notified of their changes. */
final class ReplicaEntries {
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Replica.Listener> listeners = new ArrayList<>();

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
    Entry current = entries.get(change.key());
    if (current != null && current.modRevision() >= change.modRevision()) {
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

  /**
   * Removes the entries in a range of keys that a page of the state service does not contain.
   *
   * @param after the range begins after this key; empty to begin at the first key
   * @param last the last key of the range; empty if the range has no end
   * @param keys the keys of the page
   * @param pageRevision the revision of the page; entries that were changed later are kept
   */
  void removeMissing(String after, Optional<String> last, Set<String> keys, long pageRevision) {
    NavigableMap<String, Entry> range = entries.tailMap(after, false);
    if (last.isPresent()) {
      range = range.headMap(last.get(), true);
    }
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
