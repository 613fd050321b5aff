package org.ploverspindle.pipelines;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.DependenciesRecord;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore.Entry;

/**
 * Keeps the dependency graph up to date with this controller's replica. Every controller has one,
 * as answers to users need it too.
 */
public final class Pipelines {
  private final Replica replica;
  private final DependencyGraph graph;
  private final Map<String, Long> readyWallMs = new HashMap<>();

  /** Jobs of whose lists of dependencies not all parts are read yet, by the lists' names. */
  private final Map<String, AcceptedJobIndex.AcceptedJob> incomplete = new HashMap<>();

  public Pipelines(Scheduler scheduler, Replica replica, AcceptedJobIndex specs) {
    this.replica = replica;
    this.graph =
        new DependencyGraph(
            uid -> replica.get(Keys.completion(uid)).isPresent(),
            uid -> replica.get(Keys.cancellation(uid)).isPresent());
    graph.listen(
        new DependencyGraph.Listener() {
          @Override
          public void ready(String uid) {
            readyWallMs.put(uid, scheduler.wallMs());
          }

          @Override
          public void aborted(String uid) {}
        });
    specs.addListener(
        new AcceptedJobIndex.Listener() {
          @Override
          public void accepted(AcceptedJobIndex.AcceptedJob spec) {
            put(spec);
          }

          @Override
          public void corrected(AcceptedJobIndex.AcceptedJob spec) {
            incomplete.values().removeIf(s -> s.uid().equals(spec.uid()));
            put(spec);
          }
        });
    replica.addListener(this::changed);
  }

  /** The graph, which changes with the replica. */
  public DependencyGraph graph() {
    return graph;
  }

  /**
   * When this process first saw the job ready, by the time of day; empty for a job that is not
   * ready or has no dependencies.
   */
  public OptionalLong readyWallMs(String uid) {
    Long ms = readyWallMs.get(uid);
    return ms == null ? OptionalLong.empty() : OptionalLong.of(ms);
  }

  /**
   * True when the job is neither over nor ready. Such a job takes part in no limit and no demand.
   */
  public boolean isWaiting(String uid) {
    return !graph.isReady(uid)
        && !graph.isAborted(uid)
        && replica.get(Keys.completion(uid)).isEmpty();
  }

  /** How many jobs wait for their dependencies. */
  public long waiting() {
    return graph.uids().stream().filter(this::isWaiting).count();
  }

  private void put(AcceptedJobIndex.AcceptedJob spec) {
    JobRecord.StoredDependencies awaits = JobRecord.storedDependencies(spec.value());
    if (awaits instanceof JobRecord.StoredDependencies.Inline here) {
      if (!here.uids().isEmpty() || graph.awaitsOthers(spec.uid())) {
        graph.put(spec.uid(), here.uids());
      }
    } else if (awaits instanceof JobRecord.StoredDependencies.Separate elsewhere) {
      Optional<List<String>> uids = DependenciesRecord.read(replica, elsewhere);
      if (uids.isPresent()) {
        incomplete.remove(elsewhere.name());
        graph.put(spec.uid(), uids.get());
      } else {
        incomplete.put(elsewhere.name(), spec);
        graph.expect(spec.uid());
      }
    }
  }

  private void changed(String key, Optional<Entry> entry) {
    if (entry.isEmpty()) {
      return;
    }
    if (key.startsWith(Keys.COMPLETIONS)) {
      graph.done(key.substring(Keys.COMPLETIONS.length()));
    } else if (key.startsWith(Keys.CANCELLATIONS)) {
      graph.cancelled(key.substring(Keys.CANCELLATIONS.length()));
    } else if (key.startsWith(Keys.DEPENDENCIES) && !incomplete.isEmpty()) {
      AcceptedJobIndex.AcceptedJob spec =
          incomplete.get(key.substring(Keys.DEPENDENCIES.length(), key.lastIndexOf('/')));
      if (spec != null) {
        put(spec);
      }
    }
  }
}
