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
 * most once as done and once as aborted. Marks spread by a work list instead of recursion, so that
 * all consequences of an event hold when the call returns, whatever the pipeline's depth, and all
 * calls together take time linear in the number of edges that were put.
 */
public final class DependencyGraph {
  /**
   * Is told of jobs with dependencies: of each at most once that it is ready, and at most once that
   * it is aborted; never of an aborted one that it is ready.
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
    private boolean awaits;
    private boolean known;
    private int unfinished;
    private boolean toldReady;
    private boolean toldAborted;

    private Vertex(String uid, int index) {
      this.uid = uid;
      this.index = index;
    }

    private boolean ready() {
      return !awaits || known && unfinished == 0;
    }
  }

  private final Predicate<String> isDone;
  private final Predicate<String> isCancelled;
  private final Map<String, Vertex> byUid = new HashMap<>();
  private final List<Vertex> vertices = new ArrayList<>();
  private final LinkedHashSet<String> awaiting = new LinkedHashSet<>();
  private final List<Listener> listeners = new ArrayList<>();
  private final Deque<Vertex> spreading = new ArrayDeque<>();
  private List<Vertex> newlyAborted = new ArrayList<>();
  private List<Vertex> newlyReady = new ArrayList<>();
  private long visits;

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
  public Cancellable listen(Listener listener) {
    listeners.add(listener);
    return () -> listeners.remove(listener);
  }

  /** Adds a job whose dependencies are not known yet: it is not ready until it is put. */
  public void expect(String uid) {
    Vertex v = vertex(uid);
    if (!v.awaits) {
      v.awaits = true;
      awaiting.add(uid);
    }
    finish();
  }

  /** Adds a job with its dependencies. A later list replaces an earlier one. */
  public void put(String uid, List<String> dependencies) {
    Collection<String> distinct = new LinkedHashSet<>(dependencies);
    Vertex v = vertex(uid);
    if (!v.known) {
      connect(v, distinct);
    } else if (!distinct.equals(new LinkedHashSet<>(uidsOf(v.dependencies)))) {
      replace(v, distinct);
    }
    finish();
  }

  /** Marks a job that is durably done. */
  public void done(String uid) {
    Vertex v = byUid.get(uid);
    if (v != null) {
      markDone(v);
      finish();
    }
  }

  /** Marks a job that was itself cancelled. */
  public void cancelled(String uid) {
    Vertex v = byUid.get(uid);
    if (v != null) {
      v.cancelled = true;
      markAborted(v);
      finish();
    }
  }

  /** True when all dependencies are done, also of a job without any. */
  public boolean isReady(String uid) {
    Vertex v = byUid.get(uid);
    return v == null || v.ready();
  }

  /** True when the job, or any job that it depends on directly or through others, is cancelled. */
  public boolean isAborted(String uid) {
    Vertex v = byUid.get(uid);
    return v == null ? isCancelled.test(uid) : v.aborted;
  }

  /** False while the job's dependencies are not known. */
  public boolean isKnown(String uid) {
    Vertex v = byUid.get(uid);
    return v == null || !v.awaits || v.known;
  }

  /** True when the job has dependencies. */
  public boolean awaitsOthers(String uid) {
    return awaiting.contains(uid);
  }

  /** The direct dependencies that are not done yet, for display. */
  public List<String> unfinished(String uid) {
    Vertex v = byUid.get(uid);
    return v == null
        ? List.of()
        : v.dependencies.stream().filter(d -> !d.done).map(d -> d.uid).toList();
  }

  /** The direct dependencies. */
  public List<String> dependenciesOf(String uid) {
    Vertex v = byUid.get(uid);
    return v == null ? List.of() : uidsOf(v.dependencies);
  }

  /** The direct dependents. */
  public List<String> dependentsOf(String uid) {
    Vertex v = byUid.get(uid);
    return v == null ? List.of() : uidsOf(v.dependents);
  }

  /** Jobs with dependencies, in the order in which they were added. */
  public Collection<String> uids() {
    return Collections.unmodifiableCollection(awaiting);
  }

  /** All jobs that await or are awaited; the position of each is its index. */
  List<Vertex> vertices() {
    return vertices;
  }

  /** How many edges were visited so far; tests bound the work by it. */
  long visits() {
    return visits;
  }

  private static List<String> uidsOf(List<Vertex> vertices) {
    return vertices.stream().map(v -> v.uid).toList();
  }

  private Vertex vertex(String uid) {
    Vertex known = byUid.get(uid);
    if (known != null) {
      return known;
    }
    Vertex v = new Vertex(uid, vertices.size());
    byUid.put(uid, v);
    vertices.add(v);
    v.done = isDone.test(uid);
    v.cancelled = isCancelled.test(uid);
    v.aborted = v.cancelled;
    return v;
  }

  private void connect(Vertex v, Collection<String> dependencies) {
    v.awaits = true;
    v.known = true;
    awaiting.add(v.uid);
    for (String uid : dependencies) {
      Vertex d = vertex(uid);
      visits++;
      v.dependencies.add(d);
      d.dependents.add(v);
      v.unfinished += d.done ? 0 : 1;
      if (d.aborted) {
        markAborted(v);
      }
    }
    if (v.aborted) {
      // It may have been named and cancelled before it was put: listeners are told only now.
      newlyAborted.add(v);
    }
    if (v.unfinished == 0) {
      newlyReady.add(v);
    }
  }

  /**
   * Replaces a job's dependencies. Needed when two controllers accepted one id with different
   * lists, and the record that counts, the one written first, arrived second.
   */
  private void replace(Vertex changed, Collection<String> dependencies) {
    Map<Vertex, Collection<String>> lists = new LinkedHashMap<>();
    for (Vertex v : vertices) {
      if (v.known) {
        lists.put(v, v == changed ? dependencies : uidsOf(v.dependencies));
      }
    }
    for (Vertex v : vertices) {
      v.dependencies.clear();
      v.dependents.clear();
      v.unfinished = 0;
      v.aborted = v.cancelled;
    }
    lists.forEach(this::connect);
  }

  private void markDone(Vertex v) {
    if (v.done) {
      return;
    }
    v.done = true;
    for (Vertex d : v.dependents) {
      visits++;
      d.unfinished--;
      if (d.unfinished == 0) {
        newlyReady.add(d);
      }
    }
  }

  private void markAborted(Vertex v) {
    if (!v.aborted) {
      v.aborted = true;
      spreading.add(v);
    }
  }

  /** Spreads all marks and only then calls the listeners, so that they see a consistent graph. */
  private void finish() {
    while (!spreading.isEmpty()) {
      Vertex v = spreading.poll();
      newlyAborted.add(v);
      for (Vertex d : v.dependents) {
        visits++;
        markAborted(d);
      }
    }
    List<Vertex> aborted = newlyAborted;
    List<Vertex> ready = newlyReady;
    newlyAborted = new ArrayList<>();
    newlyReady = new ArrayList<>();
    for (Vertex v : aborted) {
      if (v.awaits && !v.toldAborted) {
        v.toldAborted = true;
        List.copyOf(listeners).forEach(l -> l.aborted(v.uid));
      }
    }
    for (Vertex v : ready) {
      if (v.ready() && !v.aborted && !v.toldReady) {
        v.toldReady = true;
        List.copyOf(listeners).forEach(l -> l.ready(v.uid));
      }
    }
  }
}
