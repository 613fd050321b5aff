package org.ploverspindle.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
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
 *
 * <p>The records of jobs that have ended are packed: {@link EndedJobs} keeps a few bytes of each. A
 * record is packed once no leader needs it to recover, that is, once neither the progress log nor a
 * snapshot mentions the job, and once the job is not among those that arrived recently.
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
    /** Called after a job was added to the index, unless it has ended and is packed already. */
    void accepted(AcceptedJob job);

    /**
     * Called after an earlier record of the job replaced the known one. This happens only while the
     * replica is being loaded, since keys are then not read in the order of their revisions.
     */
    default void replaced(AcceptedJob job) {}

    /** Called after the record of an ended job was packed. */
    default void packed(String uid) {}

    /**
     * Called after jobs that were packed as aborted by a dependency were removed from the index.
     * All conclusions about abortion must be drawn again; the load in progress will be repeated.
     */
    default void abortionsRevoked() {}
  }

  /** A job that was accepted within this time is kept, as new leaders forecast arrivals from it. */
  private static final long RECENT_MS = 120_000;

  /** The number of acceptance times of packed jobs that are kept for forecasts. */
  private static final int RECENT_TIMES = 24;

  private final Replica replica;
  private final EndedJobs ended;
  private final LoggedJobs loggedJobs;
  private final Map<String, AcceptedJob> jobs = new HashMap<>();

  /** Jobs that may have ended and whose records are not packed yet. */
  private final Set<String> packable = new LinkedHashSet<>();

  /** The acceptance times of the packed jobs without dependencies that were accepted last. */
  private final PriorityQueue<Long> recentTimesMs = new PriorityQueue<>();

  /**
   * During a load, the revisions of the records that were packed as aborted by a dependency, as
   * {@link #revisionMark}. An earlier record of such a job may be read later in the load.
   */
  private Optional<UidIntMap> abortedInLoad = Optional.empty();

  /**
   * During a load, the revisions of the earliest records of the jobs for which abortions were
   * revoked. Later records of these jobs are ignored, so that the load is not repeated again.
   */
  private final Map<String, Long> earliestRevisions = new HashMap<>();

  private final List<Listener> listeners = new ArrayList<>();
  private Predicate<String> isAbortedByDependency = uid -> false;
  private ToIntFunction<String> completedTasks = uid -> 0;

  /** Creates an index that follows the changes of the replica. */
  public AcceptedJobIndex(Replica replica) {
    this.replica = replica;
    this.ended = replica.endedJobs();
    this.loggedJobs = new LoggedJobs(replica);
    replica.addListener(
        new Replica.Listener() {
          @Override
          public void changed(String key, Optional<Entry> entry) {
            loggedJobs.entryChanged(key);
            entry.ifPresent(AcceptedJobIndex.this::entryChanged);
          }

          @Override
          public void jobRecordsLoaded() {
            packEnded();
          }
        });
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

  /** Sets the source of whether an accepted job is aborted by a dependency. */
  public void setAbortions(Predicate<String> newIsAbortedByDependency) {
    isAbortedByDependency = newIsAbortedByDependency;
  }

  /** Sets the source of the number of completed tasks of a job that was aborted. */
  void setCompletedTasks(ToIntFunction<String> newCompletedTasks) {
    completedTasks = newCompletedTasks;
  }

  /** Returns whether the job is accepted. */
  public boolean isAccepted(String uid) {
    return jobs.containsKey(uid) || ended.isPacked(uid);
  }

  /** Returns the accepted job with this id; empty if there is none or its record is packed. */
  public Optional<AcceptedJob> get(String uid) {
    return Optional.ofNullable(jobs.get(uid));
  }

  /** Returns whether the job is accepted and is a service. */
  public boolean isService(String uid) {
    return get(uid)
        .map(job -> JobRecord.isService(job.value()))
        .orElseGet(() -> ended.get(uid).map(EndedJobs.EndedJob::isService).orElse(false));
  }

  /** Returns the owner of the job's tasks; empty if the job is not accepted. */
  public Optional<JobOwner> owner(String uid) {
    return get(uid)
        .map(job -> JobOwner.of(job.value()))
        .or(() -> ended.get(uid).map(EndedJobs.EndedJob::owner));
  }

  /** Returns the ids of the accepted jobs whose records are not packed, as a live view. */
  public Set<String> uids() {
    return Collections.unmodifiableSet(jobs.keySet());
  }

  /**
   * Returns when the packed jobs that were accepted last and have no dependencies were accepted, in
   * milliseconds on the wall clock, in no order.
   */
  public List<Long> recentPackedTimesMs() {
    return List.copyOf(recentTimesMs);
  }

  /** Notes that the job is aborted by a dependency, so that its record can be packed. */
  public void abortedByDependency(String uid) {
    jobEnded(uid);
  }

  /** Packs the records of ended jobs that are no longer needed. */
  public void packEnded() {
    if (!replica.isProgressConsistent()) {
      return;
    }
    if (replica.isLoaded()) {
      abortedInLoad = Optional.empty();
      earliestRevisions.clear();
    }
    for (String uid : List.copyOf(packable)) {
      Optional<AcceptedJob> job = get(uid);
      if (job.isEmpty()) {
        packable.remove(uid);
      } else {
        outcome(uid).ifPresent(outcome -> packIfNotNeeded(job.get(), outcome));
      }
    }
  }

  private Optional<JobOutcome> outcome(String uid) {
    if (ended.isDone(uid)) {
      return Optional.of(JobOutcome.DONE);
    }
    if (ended.isCancelled(uid)) {
      return Optional.of(JobOutcome.CANCELLED);
    }
    return isAbortedByDependency.test(uid)
        ? Optional.of(JobOutcome.ABORTED_BY_DEPENDENCY)
        : Optional.empty();
  }

  private void entryChanged(Entry entry) {
    String key = entry.key();
    if (key.startsWith(Keys.JOBS)) {
      String uid = key.substring(Keys.JOBS.length());
      add(new AcceptedJob(uid, entry.value(), entry.modRevision(), key));
    } else if (key.startsWith(Keys.JOB_BATCHES)) {
      for (Map.Entry<String, JsonNode> job : entry.value().properties()) {
        add(new AcceptedJob(job.getKey(), job.getValue(), entry.modRevision(), key));
      }
    } else if (key.startsWith(Keys.COMPLETIONS)) {
      jobEnded(key.substring(Keys.COMPLETIONS.length()));
    } else if (key.startsWith(Keys.CANCELLATIONS)) {
      jobEnded(key.substring(Keys.CANCELLATIONS.length()));
    }
  }

  private void jobEnded(String uid) {
    if (jobs.containsKey(uid)) {
      packable.add(uid);
    }
  }

  private void add(AcceptedJob job) {
    AcceptedJob existing = jobs.get(job.uid());
    if (existing != null) {
      if (job.isBefore(existing)) {
        replace(existing, job);
      }
    } else if (ended.isPacked(job.uid())) {
      addPackedAgain(job);
    } else if (isEarliest(job) && !packAtOnce(job)) {
      keep(job);
      List.copyOf(listeners).forEach(listener -> listener.accepted(job));
    }
  }

  private void replace(AcceptedJob existing, AcceptedJob job) {
    if (abortedInLoad.isPresent() && !hasSameDependencies(existing, job)) {
      revokeAbortions(job);
    }
    keep(job);
    List.copyOf(listeners).forEach(listener -> listener.replaced(job));
  }

  private void keep(AcceptedJob job) {
    jobs.put(job.uid(), job);
    if (ended.isEnded(job.uid())) {
      packable.add(job.uid());
    }
  }

  private boolean packAtOnce(AcceptedJob job) {
    return ended.isEnded(job.uid())
        && replica.isProgressConsistent()
        && packIfNotNeeded(job, outcome(job.uid()).orElseThrow());
  }

  /** Handles another record of a job that is packed. Only the earliest record is valid. */
  private void addPackedAgain(AcceptedJob job) {
    int packedMark = abortedInLoad.map(revisions -> revisions.get(job.uid())).orElse(0);
    if (packedMark == 0 || revisionMark(job) - packedMark >= 0) {
      return;
    }
    if (dependsOnAborted(job)) {
      abortedInLoad.get().put(job.uid(), revisionMark(job));
    } else {
      revokeAbortions(job);
      keep(job);
      List.copyOf(listeners).forEach(listener -> listener.accepted(job));
    }
  }

  private static boolean hasSameDependencies(AcceptedJob job, AcceptedJob other) {
    return JobRecord.storedDependencies(job.value())
        .equals(JobRecord.storedDependencies(other.value()));
  }

  private boolean dependsOnAborted(AcceptedJob job) {
    return JobRecord.storedDependencies(job.value())
            instanceof JobRecord.StoredDependencies.Inline inline
        && inline.uids().stream().anyMatch(isAbortedByDependency);
  }

  private boolean isEarliest(AcceptedJob job) {
    return job.modRevision() <= earliestRevisions.getOrDefault(job.uid(), Long.MAX_VALUE);
  }

  private boolean packIfNotNeeded(AcceptedJob job, JobOutcome outcome) {
    String uid = job.uid();
    if (loggedJobs.isMentioned(uid) || isRecent(job)) {
      return false;
    }
    int completed =
        outcome == JobOutcome.DONE
            ? job.value().path(JobRecord.TASKS).asInt()
            : completedTasks.applyAsInt(uid);
    if (!ended.pack(job, outcome, completed)) {
      return false;
    }
    if (outcome == JobOutcome.ABORTED_BY_DEPENDENCY && !replica.isLoaded()) {
      if (abortedInLoad.isEmpty()) {
        abortedInLoad = Optional.of(ended.newMapForSameIds());
      }
      abortedInLoad.get().put(uid, revisionMark(job));
    }
    jobs.remove(uid);
    packable.remove(uid);
    dropDependencies(job);
    List.copyOf(listeners).forEach(listener -> listener.packed(uid));
    return true;
  }

  private boolean isRecent(AcceptedJob job) {
    return Math.abs(replica.wallMs() - JobRecord.acceptedWallMs(job.value())) < RECENT_MS;
  }

  private void dropDependencies(AcceptedJob job) {
    JobRecord.StoredDependencies stored = JobRecord.storedDependencies(job.value());
    if (stored instanceof JobRecord.StoredDependencies.Separate separate) {
      replica.dropDependencies(separate.name());
    } else if (stored instanceof JobRecord.StoredDependencies.Inline inline
        && inline.uids().isEmpty()) {
      recentTimesMs.add(JobRecord.acceptedWallMs(job.value()));
      if (recentTimesMs.size() > RECENT_TIMES) {
        recentTimesMs.remove();
      }
    }
  }

  /**
   * Returns the lower bits of the revision of the job's record, as a value other than 0. Records of
   * the same job are written at about the same time, so the bits tell which one is earlier.
   */
  private static int revisionMark(AcceptedJob job) {
    return (int) job.modRevision() << 1 | 1;
  }

  /**
   * Revokes what this load found to be aborted by dependencies. It has read an earlier record of a
   * job, which may have other dependencies, and so dependents of the job may not be aborted.
   */
  private void revokeAbortions(AcceptedJob earlierRecord) {
    earliestRevisions.put(earlierRecord.uid(), earlierRecord.modRevision());
    abortedInLoad.ifPresent(ended::forgetAll);
    abortedInLoad = Optional.empty();
    replica.repeatLoad();
    List.copyOf(listeners).forEach(Listener::abortionsRevoked);
  }
}
