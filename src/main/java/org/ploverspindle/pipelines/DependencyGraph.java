package org.ploverspindle.pipelines;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.ploverspindle.eventloop.Cancellable;

/**
 * The graph of jobs and their dependencies. A job is ready once all its dependencies are done, and
 * aborted once it is cancelled or any of its dependencies is aborted. Completions and cancellations
 * are never revoked, and at most one list of dependencies is valid for each job. The resulting
 * state therefore does not depend on the order in which these facts arrive, and is the same on
 * every controller.
 *
 * <p>The graph contains only jobs with dependencies and the jobs that they depend on.
 *
 * <p>Abortion propagates by a work list instead of recursion, so that a pipeline of any depth is
 * fully updated when a call returns. Each job is marked at most once as done and at most once as
 * aborted, so all calls together take time linear in the number of edges. The exception is a call
 * that replaces the dependencies of a job: it rebuilds all edges and marks.
 */
public final class DependencyGraph {
  /**
   * Is notified when jobs with dependencies become ready or aborted. For each job, each method is
   * called at most once. {@link #ready} is never called for a job that is aborted at that time.
   */
  public interface Listener {
    /** Called when all dependencies of the job are done. */
    void ready(String uid);

    /** Called when the job or any of its direct or indirect dependencies is cancelled. */
    void aborted(String uid);
  }

  private final Predicate<String> isDone;
  private final Predicate<String> isCancelled;
  private final Map<String, Vertex> verticesByUid = new HashMap<>();
  private final List<Vertex> vertices = new ArrayList<>();

  /** The uids of all jobs with dependencies, in the order in which they were added. */
  private final LinkedHashSet<String> uidsWithDependencies = new LinkedHashSet<>();

  private final List<Listener> listeners = new ArrayList<>();

  /** Jobs that are marked as aborted and whose dependents are not marked yet. */
  private final Deque<Vertex> abortsToPropagate = new ArrayDeque<>();

  /** Jobs that were found aborted since the listeners were last notified. */
  private List<Vertex> newlyAborted = new ArrayList<>();

  /** Jobs whose dependencies were found done since the listeners were last notified. */
  private List<Vertex> newlyReady = new ArrayList<>();

  private long edgeVisits;

  /**
   * Creates a graph without jobs.
   *
   * @param isDone whether the job with the given uid is durably done; called once for each job,
   *     when it is added to the graph, either itself or as a dependency of another job
   * @param isCancelled whether the job with the given uid was itself cancelled; called once for
   *     each job, when it is added to the graph, and by {@link #isAborted} for a job that is not in
   *     the graph
   */
  public DependencyGraph(Predicate<String> isDone, Predicate<String> isCancelled) {
    this.isDone = isDone;
    this.isCancelled = isCancelled;
  }

  /** Adds a listener. Cancelling the returned registration removes it. */
  public Cancellable addListener(Listener listener) {
    listeners.add(listener);
    return () -> listeners.remove(listener);
  }

  /**
   * Adds a job that has dependencies which are not known yet. The job is not ready until its
   * dependencies are set by {@link #setDependencies} and are done.
   */
  public void addWithUnknownDependencies(String uid) {
    Vertex vertex = getOrAddVertex(uid);
    if (!vertex.hasDependencies) {
      vertex.hasDependencies = true;
      uidsWithDependencies.add(uid);
    }
    propagateAndNotify();
  }

  /**
   * Sets the dependencies of a job, and adds the job if it is not in the graph. Dependencies that
   * were set before are replaced. Duplicates in the list are ignored.
   */
  public void setDependencies(String uid, List<String> dependencies) {
    Collection<String> distinct = new LinkedHashSet<>(dependencies);
    Vertex vertex = getOrAddVertex(uid);
    if (!vertex.dependenciesKnown) {
      addDependencies(vertex, distinct);
    } else if (distinct.size() != vertex.dependencyCount
        || !distinct.equals(new LinkedHashSet<>(uidsOf(vertex.dependencies)))) {
      replaceDependencies(vertex, distinct);
    }
    propagateAndNotify();
  }

  /**
   * Marks a job as durably done. Has no effect if the job is not in the graph: whether it is done
   * is determined when it is added.
   */
  public void done(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    if (vertex != null) {
      markDone(vertex);
      propagateAndNotify();
    }
  }

  /**
   * Marks a job as cancelled, and the job and all its dependents, direct and indirect, as aborted.
   * Has no effect if the job is not in the graph: whether it is cancelled is determined when it is
   * added.
   */
  public void cancelled(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    if (vertex != null) {
      vertex.cancelled = true;
      markAborted(vertex);
      propagateAndNotify();
    }
  }

  /**
   * Whether all dependencies of the job are known and done. True for a job without dependencies and
   * for a job that is not in the graph.
   */
  public boolean isReady(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    return vertex == null || vertex.isReady();
  }

  /** Whether the job or any of its direct or indirect dependencies is cancelled. */
  public boolean isAborted(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    return vertex == null ? isCancelled.test(uid) : vertex.aborted;
  }

  /**
   * Whether the dependencies of the job are known. True for a job without dependencies and for a
   * job that is not in the graph.
   */
  public boolean areDependenciesKnown(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    return vertex == null || !vertex.hasDependencies || vertex.dependenciesKnown;
  }

  /**
   * Whether the job was added as a job with dependencies, even if they are not known yet or were
   * replaced by an empty list.
   */
  public boolean hasDependencies(String uid) {
    return uidsWithDependencies.contains(uid);
  }

  /**
   * The direct dependencies that are not done yet; empty if the dependencies are not known or the
   * job is not in the graph.
   */
  public List<String> unfinishedDependenciesOf(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    return vertex == null
        ? List.of()
        : vertex.dependencies.stream()
            .filter(dependency -> !dependency.done)
            .map(dependency -> dependency.uid)
            .toList();
  }

  /**
   * The direct dependencies; empty if they are not known or the job is not in the graph. Forgotten
   * ones may be missing.
   */
  public List<String> dependenciesOf(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    return vertex == null ? List.of() : uidsOf(vertex.dependencies);
  }

  /** The number of direct dependencies, including those that are done and forgotten. */
  public int dependencyCount(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    return vertex == null ? 0 : vertex.dependencyCount;
  }

  /** The direct dependents; empty if the job is not in the graph. */
  public List<String> dependentsOf(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    return vertex == null ? List.of() : uidsOf(vertex.dependents);
  }

  /**
   * The uids of all jobs with dependencies, in the order in which they were added; an unmodifiable
   * live view.
   */
  public Collection<String> uidsWithDependencies() {
    return Collections.unmodifiableCollection(uidsWithDependencies);
  }

  /** All jobs in the graph, ordered by {@link Vertex#index}; an unmodifiable live view. */
  List<Vertex> vertices() {
    return Collections.unmodifiableList(vertices);
  }

  /**
   * How many times an edge was added or followed since this graph was created. Tests check that
   * this number is linear in the number of edges.
   */
  long edgeVisits() {
    return edgeVisits;
  }

  private static List<String> uidsOf(List<Vertex> vertices) {
    return vertices.stream().map(vertex -> vertex.uid).toList();
  }

  private static List<String> uidsOfKept(List<Vertex> vertices) {
    return uidsOf(vertices.stream().filter(vertex -> !vertex.forgotten).toList());
  }

  private Vertex getOrAddVertex(String uid) {
    Vertex existing = verticesByUid.get(uid);
    if (existing != null) {
      return existing;
    }
    Vertex vertex = new Vertex(uid, vertices.size());
    verticesByUid.put(uid, vertex);
    vertices.add(vertex);
    vertex.done = isDone.test(uid);
    vertex.cancelled = isCancelled.test(uid);
    vertex.aborted = vertex.cancelled;
    return vertex;
  }

  private void addDependencies(Vertex vertex, Collection<String> dependencies) {
    vertex.hasDependencies = true;
    vertex.dependenciesKnown = true;
    vertex.dependencyCount = Math.max(vertex.dependencyCount, dependencies.size());
    uidsWithDependencies.add(vertex.uid);
    for (String uid : dependencies) {
      Vertex dependency = getOrAddVertex(uid);
      edgeVisits++;
      vertex.dependencies.add(dependency);
      dependency.dependents.add(vertex);
      vertex.unfinishedDependencies += dependency.done ? 0 : 1;
      if (dependency.aborted) {
        markAborted(vertex);
      }
    }
    if (vertex.aborted) {
      // The job may have been added as a dependency, and aborted, before its own dependencies were
      // set. Listeners are notified of jobs with dependencies only, so they are notified now.
      newlyAborted.add(vertex);
    }
    if (vertex.unfinishedDependencies == 0) {
      newlyReady.add(vertex);
    }
  }

  /**
   * Replaces the dependencies of a job and rebuilds all edges. This is needed if two controllers
   * accepted jobs with the same uid and different dependencies, and this controller read the valid
   * record, which is the one that was written first, after the other record.
   */
  private void replaceDependencies(Vertex changedVertex, Collection<String> dependencies) {
    changedVertex.hasForgottenAbortedDependency = false;
    changedVertex.dependencyCount = 0;
    Map<Vertex, Collection<String>> dependenciesOf = new LinkedHashMap<>();
    for (Vertex vertex : vertices) {
      if (vertex.dependenciesKnown) {
        dependenciesOf.put(
            vertex, vertex == changedVertex ? dependencies : uidsOfKept(vertex.dependencies));
      }
    }
    for (Vertex vertex : vertices) {
      vertex.dependencies.clear();
      vertex.dependents.clear();
      vertex.unfinishedDependencies = 0;
      vertex.forgottenNeighbours = 0;
      vertex.aborted = vertex.cancelled || vertex.hasForgottenAbortedDependency;
    }
    dependenciesOf.forEach(this::addDependencies);
  }

  /**
   * Removes a job that is done or aborted, so that it takes no memory. From then on its outcome is
   * determined by the predicates that were passed to the constructor. Has no effect on a job that
   * has not ended or is not in the graph.
   *
   * <p>Lists that contain the job are cleaned once half of their elements are forgotten, so that
   * all calls together take time linear in the number of edges.
   */
  public void forget(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    if (vertex == null || !vertex.done && !vertex.aborted) {
      return;
    }
    verticesByUid.remove(uid);
    uidsWithDependencies.remove(uid);
    Vertex last = vertices.remove(vertices.size() - 1);
    if (last != vertex) {
      vertices.set(vertex.index, last);
      last.index = vertex.index;
    }
    vertex.forgotten = true;
    for (Vertex dependent : vertex.dependents) {
      dependent.hasForgottenAbortedDependency |= !vertex.done;
      dependent.neighbourForgotten();
    }
    vertex.dependencies.forEach(Vertex::neighbourForgotten);
    vertex.dependencies.clear();
    vertex.dependents.clear();
  }

  /** Removes all jobs. */
  void clear() {
    verticesByUid.clear();
    vertices.clear();
    uidsWithDependencies.clear();
  }

  private void markDone(Vertex vertex) {
    if (vertex.done) {
      return;
    }
    vertex.done = true;
    for (Vertex dependent : vertex.dependents) {
      edgeVisits++;
      dependent.unfinishedDependencies--;
      if (dependent.unfinishedDependencies == 0) {
        newlyReady.add(dependent);
      }
    }
  }

  private void markAborted(Vertex vertex) {
    if (!vertex.aborted) {
      vertex.aborted = true;
      abortsToPropagate.add(vertex);
    }
  }

  /**
   * Propagates abortions to all dependents, and then notifies the listeners. Listeners are notified
   * last, so that they never see a partly updated graph.
   */
  private void propagateAndNotify() {
    propagateAborts();
    List<Vertex> aborted = newlyAborted;
    List<Vertex> ready = newlyReady;
    newlyAborted = new ArrayList<>();
    newlyReady = new ArrayList<>();
    aborted.forEach(this::notifyAborted);
    ready.forEach(this::notifyReady);
  }

  private void propagateAborts() {
    while (!abortsToPropagate.isEmpty()) {
      Vertex vertex = abortsToPropagate.poll();
      newlyAborted.add(vertex);
      for (Vertex dependent : vertex.dependents) {
        edgeVisits++;
        markAborted(dependent);
      }
    }
  }

  private void notifyAborted(Vertex vertex) {
    if (vertex.hasDependencies && !vertex.abortedNotified) {
      vertex.abortedNotified = true;
      List.copyOf(listeners).forEach(listener -> listener.aborted(vertex.uid));
    }
  }

  private void notifyReady(Vertex vertex) {
    if (vertex.isReady() && !vertex.aborted && !vertex.readyNotified) {
      vertex.readyNotified = true;
      List.copyOf(listeners).forEach(listener -> listener.ready(vertex.uid));
    }
  }
}
