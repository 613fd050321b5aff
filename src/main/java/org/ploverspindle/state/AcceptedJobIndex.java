package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.state.StateStore.Entry;

/**
 * Accepted jobs by their id, over the copy. A record holds all jobs that a node accepted at once,
 * as changes are scarce; so nothing in the store keeps two nodes from accepting one id. The record
 * that was written first counts, on every node and for good: it can't be overtaken by one that is
 * executed late, and whoever told its user "accepted" by the other record told the truth.
 */
public final class AcceptedJobIndex {
  /** An accepted job's record, and the revision that wrote it. */
  public record AcceptedJob(String uid, JsonNode value, long modRevision, String key) {
    private boolean isBefore(AcceptedJob other) {
      return modRevision != other.modRevision
          ? modRevision < other.modRevision
          : key.compareTo(other.key) < 0;
    }
  }

  /** Told of every job that is new here. */
  public interface Listener {
    void accepted(AcceptedJob spec);

    /** The record that counts is an earlier one, which came here later; seen only while loading. */
    default void corrected(AcceptedJob spec) {}
  }

  private final Map<String, AcceptedJob> specs = new HashMap<>();
  private final List<Listener> listeners = new ArrayList<>();

  public AcceptedJobIndex(Replica replica) {
    replica.addListener(this::changed);
  }

  /** Cancelled with the term of whoever listens. */
  public Cancellable addListener(Listener listener) {
    listeners.add(listener);
    return () -> listeners.remove(listener);
  }

  public Optional<AcceptedJob> get(String uid) {
    return Optional.ofNullable(specs.get(uid));
  }

  public Set<String> uids() {
    return specs.keySet();
  }

  private void changed(String key, Optional<Entry> entry) {
    if (entry.isEmpty()) {
      return;
    }
    Entry e = entry.get();
    if (key.startsWith(Keys.JOBS)) {
      add(new AcceptedJob(key.substring(Keys.JOBS.length()), e.value(), e.modRevision(), key));
    } else if (key.startsWith(Keys.JOB_BATCHES)) {
      for (Map.Entry<String, JsonNode> job : e.value().properties()) {
        add(new AcceptedJob(job.getKey(), job.getValue(), e.modRevision(), key));
      }
    }
  }

  private void add(AcceptedJob spec) {
    AcceptedJob known = specs.get(spec.uid());
    if (known != null && !spec.isBefore(known)) {
      return;
    }
    specs.put(spec.uid(), spec);
    if (known == null) {
      List.copyOf(listeners).forEach(l -> l.accepted(spec));
    } else {
      List.copyOf(listeners).forEach(l -> l.corrected(spec));
    }
  }
}
