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
 * An index of the accepted jobs in the replica by job id.
 *
 * <p>One record holds all jobs that a controller accepted at the same time, because the state
 * service strictly limits the rate of changes. Such a record has no job id in its key, so no
 * condition on a key keeps two controllers from accepting jobs with the same id. The record that
 * was written first counts, at every controller and permanently: a transaction that is executed
 * later gets a higher mod revision. The acknowledgement that the other controller sent is still
 * true, since a job with this id was accepted.
 */
public final class AcceptedJobIndex {
  /** An accepted job's record, the key that holds it, and the mod revision of that key. */
  public record AcceptedJob(String uid, JsonNode value, long modRevision, String key) {
    private boolean isBefore(AcceptedJob other) {
      return modRevision != other.modRevision
          ? modRevision < other.modRevision
          : key.compareTo(other.key) < 0;
    }
  }

  /** Is notified of changes to the index. */
  public interface Listener {
    /** Called after a job was added to the index. */
    void accepted(AcceptedJob job);

    /**
     * Called after an earlier record of the job replaced the known one. This happens only while the
     * replica is being loaded, since keys are then not read in the order of their revisions.
     */
    default void replaced(AcceptedJob job) {}
  }

  private final Map<String, AcceptedJob> jobs = new HashMap<>();
  private final List<Listener> listeners = new ArrayList<>();

  /** Creates an index that follows the changes of the replica. */
  public AcceptedJobIndex(Replica replica) {
    replica.addListener(this::entryChanged);
  }

  /**
   * Adds a listener. A listener that belongs to a term must be cancelled at the end of the term.
   *
   * @return removes the listener when cancelled
   */
  public Cancellable addListener(Listener listener) {
    listeners.add(listener);
    return () -> listeners.remove(listener);
  }

  /** Returns the accepted job with this id; empty if there is none. */
  public Optional<AcceptedJob> get(String uid) {
    return Optional.ofNullable(jobs.get(uid));
  }

  /** Returns the ids of all accepted jobs as an unmodifiable live view. */
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
      List.copyOf(listeners).forEach(listener -> listener.replaced(job));
    }
  }
}
