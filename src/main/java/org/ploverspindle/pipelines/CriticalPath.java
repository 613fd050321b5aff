package org.ploverspindle.pipelines;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.ploverspindle.model.Priority;
import org.ploverspindle.pipelines.DependencyGraph.Vertex;

/**
 * The backward pass of the critical path method: users give only the last job of a pipeline its
 * deadline and priority, and from these follows when each job before it must be finished, and how
 * urgent it is. Computed from the whole graph each time: a dependent that is accepted later is
 * taken into account, and one that is aborted no longer is.
 */
public final class CriticalPath {
  /**
   * A job by itself.
   *
   * @param latestFinishMs time of day in milliseconds
   * @param runS estimate of its run time
   */
  public record Own(OptionalLong latestFinishMs, Priority urgency, double runS) {}

  /** A job's effective deadline and urgency: the tightest of its own and its dependents'. */
  public record PriorityInheritance(OptionalLong latestFinishMs, Priority urgency) {}

  private CriticalPath() {}

  /**
   * The effective values of every job of the graph that is neither done nor aborted.
   *
   * @param jobs the job's own values; empty when its record can't be read: such a job passes on its
   *     dependents' values unchanged
   */
  public static Map<String, PriorityInheritance> of(
      DependencyGraph graph, Function<String, Optional<Own>> jobs) {
    List<Vertex> vertices = graph.vertices();
    int[] waitingFor = new int[vertices.size()];
    Deque<Vertex> work = new ArrayDeque<>();
    for (Vertex v : vertices) {
      if (counts(v)) {
        for (Vertex d : v.dependents) {
          waitingFor[v.index] += counts(d) ? 1 : 0;
        }
        if (waitingFor[v.index] == 0) {
          work.add(v);
        }
      }
    }
    Map<String, PriorityInheritance> passed = new HashMap<>();
    double[] latestStartMs = new double[vertices.size()];
    while (!work.isEmpty()) {
      Vertex v = work.poll();
      Own own = jobs.apply(v.uid).orElse(new Own(OptionalLong.empty(), Priority.BEST_EFFORT, 0));
      double latestMs = own.latestFinishMs().isPresent() ? own.latestFinishMs().getAsLong() : NEVER;
      Priority urgency = own.urgency();
      for (Vertex d : v.dependents) {
        if (counts(d)) {
          latestMs = Math.min(latestMs, latestStartMs[d.index]);
          Priority theirs = passed.get(d.uid).urgency();
          urgency = theirs.compareTo(urgency) < 0 ? theirs : urgency;
        }
      }
      latestStartMs[v.index] = latestMs - 1000 * own.runS();
      OptionalLong latest =
          latestMs == NEVER ? OptionalLong.empty() : OptionalLong.of(Math.round(latestMs));
      passed.put(v.uid, new PriorityInheritance(latest, urgency));
      for (Vertex d : v.dependencies) {
        if (counts(d) && --waitingFor[d.index] == 0) {
          work.add(d);
        }
      }
    }
    return passed;
  }

  private static final double NEVER = Double.POSITIVE_INFINITY;

  private static boolean counts(Vertex v) {
    return !v.done && !v.aborted;
  }
}
