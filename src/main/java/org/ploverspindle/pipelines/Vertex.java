package org.ploverspindle.pipelines;

import java.util.ArrayList;
import java.util.List;

/** A job with its edges in a {@link DependencyGraph}, which alone changes it. */
final class Vertex {
  final String uid;

  /**
   * Position of this vertex in {@link DependencyGraph#vertices()} and in arrays with an element per
   * vertex.
   */
  int index;

  final List<Vertex> dependencies = new ArrayList<>();
  final List<Vertex> dependents = new ArrayList<>();
  boolean done;
  boolean aborted;

  /** True if the job was cancelled itself, as opposed to aborted by a dependency. */
  boolean cancelled;

  /** True if the job has dependencies, even if they are not known yet. */
  boolean hasDependencies;

  boolean dependenciesKnown;
  int unfinishedDependencies;

  /** The number of dependencies in the list that was set last, including forgotten ones. */
  int dependencyCount;

  /** True if a dependency was aborted and is forgotten, so this job is aborted for good. */
  boolean hasForgottenAbortedDependency;

  /** True if this vertex was removed from the graph; it may still be in lists of others. */
  boolean forgotten;

  /** The number of forgotten vertices among the dependencies and dependents. */
  int forgottenNeighbours;

  boolean readyNotified;
  boolean abortedNotified;

  Vertex(String uid, int index) {
    this.uid = uid;
    this.index = index;
  }

  boolean isReady() {
    return !hasDependencies
        || dependenciesKnown && unfinishedDependencies == 0 && !hasForgottenAbortedDependency;
  }

  /** Cleans the lists once half of the vertices in them are forgotten. */
  void neighbourForgotten() {
    forgottenNeighbours++;
    if (2 * forgottenNeighbours > dependencies.size() + dependents.size()) {
      dependencies.removeIf(neighbour -> neighbour.forgotten);
      dependents.removeIf(neighbour -> neighbour.forgotten);
      forgottenNeighbours = 0;
    }
  }
}
