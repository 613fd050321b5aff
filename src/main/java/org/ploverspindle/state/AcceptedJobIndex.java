package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.state.StateStore.Entry;

/**
 * Accepted jobs by id, as found in the replica.
 *
 * <p>A record holds all jobs that a controller accepted at once, since changes are scarce. So no
 * condition on a key keeps two controllers from accepting jobs with the same id. The record that
 * was written first counts, at every controller and permanently: a transaction that is executed
 * late can't come before it. The controller that wrote the other record did not mislead its user,
 * as a job with this id was accepted.
 */
public final class AcceptedJobIndex {
  /** An accepted job's record, with the key that holds it and the key's mod revision. */
  public record AcceptedJob(String uid, JsonNode value, long modRevision, String key) {
    private boolean isBefore(AcceptedJob other) {
      return modRevision != other.modRevision
          ? modRevision < other.modRevision
          : key.compareTo(other.key) < 0;
    }
  }

  /** Notified of the jobs in the index. */
  public interface Listener {
    /** A job was added. */
    void accepted(AcceptedJob job);

    /** An earlier record of the job replaces the known one; happens during loading alone. */
    default void corrected(AcceptedJob job) {}
  }

  private final Map<String, AcceptedJob> jobs = new HashMap<>();
  private final List<Listener> listeners = new ArrayList<>();

  /** Follows the jobs in the replica. */
  public AcceptedJobIndex(Replica replica) {
    replica.addListener(this::entryChanged);
  }

  /** Adds a listener; one that belongs to a term must be cancelled with it. */
  public Cancellable addListener(Listener listener) {
    listeners.add(listener);
    return () -> listeners.remove(listener);
  }

  /** The accepted job with this id. */
  public Optional<AcceptedJob> get(String uid) {
    return Optional.ofNullable(jobs.get(uid));
  }

  /** The ids of all accepted jobs; an unmodifiable live view. */
  public Set<String> uids() {
    return Collections.unmodifiableSet(jobs.keySet());
  }

  private void entryChanged(String key, Optional<Entry> entry) {
    if (entry.isEmpty()) {
      return;
    }
    JsonNode value = entry.get().value();
    long modRevision = entry.get().modRevision();
    if (key.startsWith(Keys.JOBS)) {
      add(new AcceptedJob(key.substring(Keys.JOBS.length()), value, modRevision, key));
    } else if (key.startsWith(Keys.JOB_BATCHES)) {
      for (Map.Entry<String, JsonNode> job : value.properties()) {
        add(new AcceptedJob(job.getKey(), job.getValue(), modRevision, key));
      }
    }
  }

  private void add(AcceptedJob job) {
    AcceptedJob existing = jobs.get(job.uid());
    if (existing != null && !job.isBefore(existing)) {
      return;
    }
    jobs.put(job.uid(), job);
    if (existing == null) {
      List.copyOf(listeners).forEach(listener -> listener.accepted(job));
    } else {
      List.copyOf(listeners).forEach(listener -> listener.corrected(job));
    }
  }
}
