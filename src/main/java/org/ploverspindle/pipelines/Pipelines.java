package org.ploverspindle.pipelines;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.DependenciesRecord;
import org.ploverspindle.state.EndedJobs;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore.Entry;

/**
 * Keeps the dependency graph up to date with this controller's replica. Every controller has an
 * instance, not only the leader, because responses to users depend on the graph.
 */
public final class Pipelines {
  private final Replica replica;
  private final AcceptedJobIndex acceptedJobs;
  private final EndedJobs endedJobs;
  private final DependencyGraph graph;

  /**
   * Wall-clock time in milliseconds at which this process first found the job ready, by uid. Only
   * jobs with dependencies have an entry.
   */
  private final Map<String, Long> readyWallMs = new HashMap<>();

  /**
   * Jobs whose dependencies are stored in a separate record of which the replica does not have all
   * parts yet, by the name of that record.
   */
  private final Map<String, AcceptedJobIndex.AcceptedJob> incompleteJobsByRecordName =
      new HashMap<>();

  public Pipelines(Scheduler scheduler, Replica replica, AcceptedJobIndex acceptedJobs) {
    this.replica = replica;
    this.acceptedJobs = acceptedJobs;
    this.endedJobs = replica.endedJobs();
    this.graph = new DependencyGraph(endedJobs::isDone, endedJobs::isAborted);
    acceptedJobs.setAbortions(graph::isAborted);
    graph.addListener(
        new DependencyGraph.Listener() {
          @Override
          public void ready(String uid) {
            readyWallMs.put(uid, scheduler.wallMs());
          }

          @Override
          public void aborted(String uid) {
            acceptedJobs.abortedByDependency(uid);
          }
        });
    acceptedJobs.addListener(new JobEvents());
    replica.addListener(this::recordChanged);
  }

  /** Keeps the graph up to date with the accepted jobs. */
  private final class JobEvents implements AcceptedJobIndex.Listener {
    @Override
    public void accepted(AcceptedJobIndex.AcceptedJob job) {
      updateDependencies(job);
    }

    @Override
    public void replaced(AcceptedJobIndex.AcceptedJob job) {
      removeIncomplete(job.uid());
      updateDependencies(job);
    }

    @Override
    public void packed(String uid) {
      graph.forget(uid);
      readyWallMs.remove(uid);
      removeIncomplete(uid);
    }

    @Override
    public void abortionsRevoked() {
      graph.clear();
      for (String uid : List.copyOf(acceptedJobs.uids())) {
        acceptedJobs.get(uid).ifPresent(Pipelines.this::updateDependencies);
      }
    }

    private void removeIncomplete(String uid) {
      incompleteJobsByRecordName.values().removeIf(incomplete -> incomplete.uid().equals(uid));
    }
  }

  /** The dependency graph, which is updated whenever the replica changes. */
  public DependencyGraph graph() {
    return graph;
  }

  /**
   * The wall-clock time in milliseconds at which this process first found the job ready; empty if
   * it has not found the job ready or the job has no dependencies.
   */
  public OptionalLong readyWallMs(String uid) {
    Long wallMs = readyWallMs.get(uid);
    return wallMs == null ? OptionalLong.empty() : OptionalLong.of(wallMs);
  }

  /**
   * Whether the job waits for dependencies: it is neither terminal nor ready. A blocked job does
   * not count against any limit and adds nothing to the demand for machines.
   */
  public boolean isBlocked(String uid) {
    return !graph.isReady(uid) && !graph.isAborted(uid) && !endedJobs.isDone(uid);
  }

  /** The number of jobs that are blocked on dependencies. */
  public long blockedJobs() {
    return graph.uidsWithDependencies().stream().filter(this::isBlocked).count();
  }

  private void updateDependencies(AcceptedJobIndex.AcceptedJob job) {
    JobRecord.StoredDependencies stored = JobRecord.storedDependencies(job.value());
    if (stored instanceof JobRecord.StoredDependencies.Inline inline) {
      if (!inline.uids().isEmpty() || graph.hasDependencies(job.uid())) {
        setDependencies(job.uid(), inline.uids());
      }
    } else if (stored instanceof JobRecord.StoredDependencies.Separate separate) {
      Optional<List<String>> uids = DependenciesRecord.read(replica, separate);
      if (uids.isPresent()) {
        incompleteJobsByRecordName.remove(separate.name());
        setDependencies(job.uid(), uids.get());
      } else {
        incompleteJobsByRecordName.put(separate.name(), job);
        graph.addWithUnknownDependencies(job.uid());
      }
    }
  }

  private void setDependencies(String uid, List<String> dependencies) {
    graph.setDependencies(uid, dependencies);
    dependencies.stream().filter(endedJobs::isPacked).forEach(graph::forget);
  }

  private void recordChanged(String key, Optional<Entry> entry) {
    if (entry.isEmpty()) {
      return;
    }
    if (key.startsWith(Keys.COMPLETIONS)) {
      graph.done(key.substring(Keys.COMPLETIONS.length()));
    } else if (key.startsWith(Keys.CANCELLATIONS)) {
      graph.cancelled(key.substring(Keys.CANCELLATIONS.length()));
    } else if (key.startsWith(Keys.DEPENDENCIES) && !incompleteJobsByRecordName.isEmpty()) {
      AcceptedJobIndex.AcceptedJob job =
          incompleteJobsByRecordName.get(
              key.substring(Keys.DEPENDENCIES.length(), key.lastIndexOf('/')));
      if (job != null) {
        updateDependencies(job);
      }
    }
  }
}
