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
 * aborted once it is cancelled or any dependency is aborted. Both are derived from facts that never
 * become false again, so the result does not depend on the order in which the facts arrive and is
 * the same on every controller.
 *
 * <p>Only jobs with dependencies, and the jobs that these name, are kept. Each job is marked at
 * most once as done and once as aborted. Abortion propagates by a work list instead of recursion,
 * so that all consequences of an event hold when the call returns, whatever the pipeline's depth,
 * and all calls together take time linear in the number of edges.
 */
public final class DependencyGraph {
  /**
   * Notified about jobs with dependencies: about each at most once that it is ready, and at most
   * once that it is aborted; never about an aborted one that it is ready.
   */
  public interface Listener {
    /** All dependencies of the job are done. */
    void ready(String uid);

    /** The job or one of its dependencies is aborted. */
    void aborted(String uid);
  }

  /** A job with its edges. Its index is its place in arrays over all jobs. */
  static final class Vertex {
    final String uid;
    final int index;
    final List<Vertex> dependencies = new ArrayList<>();
    final List<Vertex> dependents = new ArrayList<>();
    boolean done;
    boolean aborted;
    private boolean cancelled;

    /** It has dependencies, though they may not be known yet. */
    private boolean hasDependencies;

    private boolean dependenciesKnown;
    private int unfinishedDependencies;
    private boolean readyNotified;
    private boolean abortedNotified;

    private Vertex(String uid, int index) {
      this.uid = uid;
      this.index = index;
    }

    private boolean isReady() {
      return !hasDependencies || dependenciesKnown && unfinishedDependencies == 0;
    }
  }

  private final Predicate<String> isDone;
  private final Predicate<String> isCancelled;
  private final Map<String, Vertex> verticesByUid = new HashMap<>();
  private final List<Vertex> vertices = new ArrayList<>();

  /** Jobs with dependencies, in the order in which they were added. */
  private final LinkedHashSet<String> uidsWithDependencies = new LinkedHashSet<>();

  private final List<Listener> listeners = new ArrayList<>();

  /** Jobs marked aborted whose dependents are not marked yet. */
  private final Deque<Vertex> abortsToPropagate = new ArrayDeque<>();

  /** Not notified about yet. */
  private List<Vertex> newlyAborted = new ArrayList<>();

  private List<Vertex> newlyReady = new ArrayList<>();
  private long edgeVisits;

  /**
   * A graph without jobs.
   *
   * @param isDone asked once for each job, when it is named first
   * @param isCancelled asked once for each job, when it is named first
   */
  public DependencyGraph(Predicate<String> isDone, Predicate<String> isCancelled) {
    this.isDone = isDone;
    this.isCancelled = isCancelled;
  }

  /** Adds a listener; cancel the result to remove it. */
  public Cancellable addListener(Listener listener) {
    listeners.add(listener);
    return () -> listeners.remove(listener);
  }

  /** Adds a job whose dependencies are not known yet: it is not ready until they are put. */
  public void addWithUnknownDependencies(String uid) {
    Vertex vertex = getOrAddVertex(uid);
    if (!vertex.hasDependencies) {
      vertex.hasDependencies = true;
      uidsWithDependencies.add(uid);
    }
    propagateAndNotify();
  }

  /** Adds a job with its dependencies. A later list replaces an earlier one. */
  public void put(String uid, List<String> dependencies) {
    Collection<String> distinct = new LinkedHashSet<>(dependencies);
    Vertex vertex = getOrAddVertex(uid);
    if (!vertex.dependenciesKnown) {
      addDependencies(vertex, distinct);
    } else if (!distinct.equals(new LinkedHashSet<>(uidsOf(vertex.dependencies)))) {
      replaceDependencies(vertex, distinct);
    }
    propagateAndNotify();
  }

  /** Marks a job that is durably done. */
  public void done(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    if (vertex != null) {
      markDone(vertex);
      propagateAndNotify();
    }
  }

  /** Marks a job that was itself cancelled. */
  public void cancelled(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    if (vertex != null) {
      vertex.cancelled = true;
      markAborted(vertex);
      propagateAndNotify();
    }
  }

  /** True when all dependencies are done, also of a job without any. */
  public boolean isReady(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    return vertex == null || vertex.isReady();
  }

  /** True when the job, or any job that it depends on directly or through others, is cancelled. */
  public boolean isAborted(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    return vertex == null ? isCancelled.test(uid) : vertex.aborted;
  }

  /** False while the job's dependencies are not known. */
  public boolean areDependenciesKnown(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    return vertex == null || !vertex.hasDependencies || vertex.dependenciesKnown;
  }

  /** True when the job has dependencies. */
  public boolean hasDependencies(String uid) {
    return uidsWithDependencies.contains(uid);
  }

  /** The direct dependencies that are not done yet, for display. */
  public List<String> unfinishedDependenciesOf(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    return vertex == null
        ? List.of()
        : vertex.dependencies.stream()
            .filter(dependency -> !dependency.done)
            .map(dependency -> dependency.uid)
            .toList();
  }

  /** The direct dependencies. */
  public List<String> dependenciesOf(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    return vertex == null ? List.of() : uidsOf(vertex.dependencies);
  }

  /** The direct dependents. */
  public List<String> dependentsOf(String uid) {
    Vertex vertex = verticesByUid.get(uid);
    return vertex == null ? List.of() : uidsOf(vertex.dependents);
  }

  /** Jobs with dependencies, in the order in which they were added. */
  public Collection<String> uidsWithDependencies() {
    return Collections.unmodifiableCollection(uidsWithDependencies);
  }

  /** All jobs with dependencies or dependents; the position of each is its index. */
  List<Vertex> vertices() {
    return Collections.unmodifiableList(vertices);
  }

  /** How many edges were visited so far, by which tests bound the work. */
  long edgeVisits() {
    return edgeVisits;
  }

  private static List<String> uidsOf(List<Vertex> vertices) {
    return vertices.stream().map(vertex -> vertex.uid).toList();
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
      // It may have been named and cancelled before it was put: listeners are notified only now.
      newlyAborted.add(vertex);
    }
    if (vertex.unfinishedDependencies == 0) {
      newlyReady.add(vertex);
    }
  }

  /**
   * Replaces a job's dependencies, by building all edges anew. Needed when two controllers accepted
   * one id with different lists, and the valid record, the one written first, was read second.
   */
  private void replaceDependencies(Vertex changedVertex, Collection<String> dependencies) {
    Map<Vertex, Collection<String>> dependenciesOf = new LinkedHashMap<>();
    for (Vertex vertex : vertices) {
      if (vertex.dependenciesKnown) {
        dependenciesOf.put(
            vertex, vertex == changedVertex ? dependencies : uidsOf(vertex.dependencies));
      }
    }
    for (Vertex vertex : vertices) {
      vertex.dependencies.clear();
      vertex.dependents.clear();
      vertex.unfinishedDependencies = 0;
      vertex.aborted = vertex.cancelled;
    }
    dependenciesOf.forEach(this::addDependencies);
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

  /** Propagates all marks and only then notifies, so that listeners see a consistent graph. */
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
