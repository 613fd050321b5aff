package org.ploverspindle.cluster;

import java.util.BitSet;

/** A live, read-only view of a set of task indexes. */
public final class TaskSet {
  private final BitSet tasks;

  TaskSet(BitSet tasks) {
    this.tasks = tasks;
  }

  /** Whether the set contains the task. */
  public boolean contains(int task) {
    return tasks.get(task);
  }

  /** The lowest task index of the set that is at least {@code from}, or -1 if there is none. */
  public int next(int from) {
    return tasks.nextSetBit(from);
  }

  public boolean isEmpty() {
    return tasks.isEmpty();
  }

  /** How many tasks the set contains. */
  public int size() {
    return tasks.cardinality();
  }

  /** A copy of the set as it is now. */
  public BitSet toBitSet() {
    return (BitSet) tasks.clone();
  }
}
