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
import org.ploverspindle.loop.Cancellable;

/**
 * Which jobs await which, and what follows for them: a job is ready once all its dependencies are
 * done, and aborted once it or any dependency is. All of it is derived from facts that never change
 * back, so that their order of arrival does not matter and every controller comes to the same.
 *
 * <p>Only jobs that await others, and those that these name, are kept. Each is marked once in its
 * life, by a work list: what follows from an event is true when the call returns, whatever the
 * pipeline's depth, and all calls together take time linear in what was put.
 */
public final class DependencyGraph {
  /** Told of jobs that await others, at most once each; never that one is ready while aborted. */
  public interface Listener {
    void ready(String uid);

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

  /** The look-ups tell what is known already of a job that is named for the first time. */
  public DependencyGraph(Predicate<String> isDone, Predicate<String> isCancelled) {
    this.isDone = isDone;
    this.isCancelled = isCancelled;
  }

  /** Cancelled with the term of whoever listens. */
  public Cancellable listen(Listener listener) {
    listeners.add(listener);
    return () -> listeners.remove(listener);
  }

  /** A job that awaits others which are not known yet: it is not ready until it is put. */
  public void expect(String uid) {
    Vertex v = vertex(uid);
    if (!v.awaits) {
      v.awaits = true;
      awaiting.add(uid);
    }
    finish();
  }

  /** A job that awaits others. Its last list counts. */
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

  /** The job is durably done. */
  public void done(String uid) {
    Vertex v = byUid.get(uid);
    if (v != null) {
      markDone(v);
      finish();
    }
  }

  /** The job itself was cancelled. */
  public void cancelled(String uid) {
    Vertex v = byUid.get(uid);
    if (v != null) {
      v.cancelled = true;
      markAborted(v);
      finish();
    }
  }

  /** True also of jobs that await nothing. */
  public boolean isReady(String uid) {
    Vertex v = byUid.get(uid);
    return v == null || v.ready();
  }

  /** By its own cancellation, or by that of a job that it needs, directly or through others. */
  public boolean isAborted(String uid) {
    Vertex v = byUid.get(uid);
    return v == null ? isCancelled.test(uid) : v.aborted;
  }

  /** False while it is not known what the job awaits. */
  public boolean isKnown(String uid) {
    Vertex v = byUid.get(uid);
    return v == null || !v.awaits || v.known;
  }

  public boolean awaitsOthers(String uid) {
    return awaiting.contains(uid);
  }

  /** What the job still awaits, for people. */
  public List<String> unfinished(String uid) {
    Vertex v = byUid.get(uid);
    return v == null
        ? List.of()
        : v.dependencies.stream().filter(d -> !d.done).map(d -> d.uid).toList();
  }

  public List<String> dependenciesOf(String uid) {
    Vertex v = byUid.get(uid);
    return v == null ? List.of() : uidsOf(v.dependencies);
  }

  /** Those that name the job themselves. */
  public List<String> dependentsOf(String uid) {
    Vertex v = byUid.get(uid);
    return v == null ? List.of() : uidsOf(v.dependents);
  }

  /** Jobs that await others, in the order of their arrival. */
  public Collection<String> uids() {
    return Collections.unmodifiableCollection(awaiting);
  }

  /** All jobs that await or are awaited; the position of each is its index. */
  List<Vertex> vertices() {
    return vertices;
  }

  /** Edges and marks looked at so far: what the work is measured by. */
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
      // It may have been named, and cancelled, before it was put: only now is it told of.
      newlyAborted.add(v);
    }
    if (v.unfinished == 0) {
      newlyReady.add(v);
    }
  }

  /** Two controllers took one id with different lists, and the earlier record came later. */
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

  /** Works off the list, and tells only then: listeners see nothing half done. */
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
