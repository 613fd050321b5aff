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
 * deadline and priority, and from these follow the latest finish and the priority of each job
 * before it. Computed from the whole graph each time: a dependent that is accepted later is
 * included, and one that is aborted no longer is.
 */
public final class CriticalPath {
  /**
   * A job's own values.
   *
   * @param latestFinishMs time of day in milliseconds
   * @param runS estimate of its run time in seconds
   */
  public record OwnValues(OptionalLong latestFinishMs, Priority priority, double runS) {}

  /**
   * A job's effective values: the earliest latest finish and the highest priority that follow from
   * its own values and its dependents'.
   *
   * @param latestFinishMs time of day in milliseconds
   */
  public record EffectiveValues(OptionalLong latestFinishMs, Priority priority) {}

  /** The latest finish of a job that neither it nor a dependent sets. */
  private static final double NO_LATEST_FINISH = Double.POSITIVE_INFINITY;

  private static final double MS_PER_S = 1_000;

  private static final OwnValues NO_OWN_VALUES =
      new OwnValues(OptionalLong.empty(), Priority.BEST_EFFORT, 0);

  private final Function<String, Optional<OwnValues>> ownValuesOf;
  private final Map<String, EffectiveValues> effectiveValues = new HashMap<>();

  /** How many unfinished dependents of each vertex have no values yet. */
  private final int[] uncomputedDependents;

  private final double[] latestStartMs;

  private CriticalPath(int vertices, Function<String, Optional<OwnValues>> ownValuesOf) {
    this.ownValuesOf = ownValuesOf;
    this.uncomputedDependents = new int[vertices];
    this.latestStartMs = new double[vertices];
  }

  /**
   * The effective values of every job of the graph that is neither done nor aborted.
   *
   * @param ownValuesOf the job's own values; empty when its record can't be read: such a job passes
   *     on its dependents' values unchanged
   */
  public static Map<String, EffectiveValues> of(
      DependencyGraph graph, Function<String, Optional<OwnValues>> ownValuesOf) {
    List<Vertex> vertices = graph.vertices();
    return new CriticalPath(vertices.size(), ownValuesOf).computeAll(vertices);
  }

  private Map<String, EffectiveValues> computeAll(List<Vertex> vertices) {
    Deque<Vertex> ready = new ArrayDeque<>();
    for (Vertex vertex : vertices) {
      if (isUnfinished(vertex)) {
        for (Vertex dependent : vertex.dependents) {
          uncomputedDependents[vertex.index] += isUnfinished(dependent) ? 1 : 0;
        }
        if (uncomputedDependents[vertex.index] == 0) {
          ready.add(vertex);
        }
      }
    }
    while (!ready.isEmpty()) {
      Vertex vertex = ready.poll();
      computeVertex(vertex);
      for (Vertex dependency : vertex.dependencies) {
        if (isUnfinished(dependency) && --uncomputedDependents[dependency.index] == 0) {
          ready.add(dependency);
        }
      }
    }
    return effectiveValues;
  }

  /** Computes a job's values from its own and those of its dependents, which are known. */
  private void computeVertex(Vertex vertex) {
    OwnValues own = ownValuesOf.apply(vertex.uid).orElse(NO_OWN_VALUES);
    double latestMs =
        own.latestFinishMs().isPresent() ? own.latestFinishMs().getAsLong() : NO_LATEST_FINISH;
    Priority priority = own.priority();
    for (Vertex dependent : vertex.dependents) {
      if (isUnfinished(dependent)) {
        latestMs = Math.min(latestMs, latestStartMs[dependent.index]);
        Priority dependentPriority = effectiveValues.get(dependent.uid).priority();
        priority = dependentPriority.compareTo(priority) < 0 ? dependentPriority : priority;
      }
    }
    latestStartMs[vertex.index] = latestMs - MS_PER_S * own.runS();
    OptionalLong latestFinishMs =
        latestMs == NO_LATEST_FINISH ? OptionalLong.empty() : OptionalLong.of(Math.round(latestMs));
    effectiveValues.put(vertex.uid, new EffectiveValues(latestFinishMs, priority));
  }

  private static boolean isUnfinished(Vertex vertex) {
    return !vertex.done && !vertex.aborted;
  }
}
