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

/**
 * The backward pass of the critical path method. Users typically give a deadline and a priority to
 * the last job of a pipeline only. The backward pass derives from them the latest finish and the
 * priority of each job that the last job depends on, directly or through other jobs.
 *
 * <p>Each call computes the values from the whole graph, so that they include dependents accepted
 * since the previous call and leave out dependents that are done or aborted.
 */
public final class CriticalPath {
  /**
   * The values of a job without regard to its dependents.
   *
   * @param latestFinishWallMs wall-clock time in milliseconds by which the job must finish because
   *     of its own deadline; empty if it has none
   * @param priority the priority with which the job was submitted
   * @param runS estimated run time of the job in seconds
   */
  public record OwnValues(OptionalLong latestFinishWallMs, Priority priority, double runS) {}

  /**
   * The values of a job that follow from its own values and from those of its unfinished direct and
   * indirect dependents.
   *
   * @param latestFinishWallMs wall-clock time in milliseconds by which the job must finish, so that
   *     neither its own deadline nor that of a dependent is missed; empty if none of these jobs has
   *     a deadline
   * @param priority the highest priority of these jobs
   */
  public record EffectiveValues(OptionalLong latestFinishWallMs, Priority priority) {}

  /** The latest finish of a job if neither the job nor any of its dependents has a deadline. */
  private static final double NO_LATEST_FINISH = Double.POSITIVE_INFINITY;

  private static final double MS_PER_S = 1_000;

  /** Stands for the own values of a job whose record can't be read. */
  private static final OwnValues NO_OWN_VALUES =
      new OwnValues(OptionalLong.empty(), Priority.BEST_EFFORT, 0);

  private final Function<String, Optional<OwnValues>> ownValuesOf;
  private final Map<String, EffectiveValues> effectiveValues = new HashMap<>();

  /**
   * For each vertex, by its index, the number of unfinished direct dependents whose effective
   * values are not computed yet.
   */
  private final int[] uncomputedDependents;

  /**
   * For each vertex, by its index, the wall-clock time in milliseconds by which the job must start;
   * infinite if the job has no latest finish.
   */
  private final double[] latestStartMs;

  private CriticalPath(int vertices, Function<String, Optional<OwnValues>> ownValuesOf) {
    this.ownValuesOf = ownValuesOf;
    this.uncomputedDependents = new int[vertices];
    this.latestStartMs = new double[vertices];
  }

  /**
   * Returns the effective values of each job in the graph that is neither done nor aborted, by uid.
   *
   * @param ownValuesOf returns the own values of the job with the given uid, or empty if the job's
   *     record can't be read. Such a job passes its dependents' values on unchanged.
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

  /**
   * Computes the effective values of a job. The effective values of its unfinished dependents must
   * have been computed before.
   */
  private void computeVertex(Vertex vertex) {
    OwnValues own = ownValuesOf.apply(vertex.uid).orElse(NO_OWN_VALUES);
    double latestMs =
        own.latestFinishWallMs().isPresent()
            ? own.latestFinishWallMs().getAsLong()
            : NO_LATEST_FINISH;
    Priority priority = own.priority();
    for (Vertex dependent : vertex.dependents) {
      if (isUnfinished(dependent)) {
        latestMs = Math.min(latestMs, latestStartMs[dependent.index]);
        Priority dependentPriority = effectiveValues.get(dependent.uid).priority();
        priority = dependentPriority.compareTo(priority) < 0 ? dependentPriority : priority;
      }
    }
    latestStartMs[vertex.index] = latestMs - MS_PER_S * own.runS();
    OptionalLong latestFinishWallMs =
        latestMs == NO_LATEST_FINISH ? OptionalLong.empty() : OptionalLong.of(Math.round(latestMs));
    effectiveValues.put(vertex.uid, new EffectiveValues(latestFinishWallMs, priority));
  }

  private static boolean isUnfinished(Vertex vertex) {
    return !vertex.done && !vertex.aborted;
  }
}
