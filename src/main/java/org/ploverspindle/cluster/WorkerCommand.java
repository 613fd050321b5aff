package org.ploverspindle.cluster;

/** An order to a worker, about one attempt of a task. */
public sealed interface WorkerCommand {
  String uid();

  int task();

  long attempt();

  /** Start the attempt. */
  record Launch(String uid, int task, long attempt) implements WorkerCommand {}

  /** Stop the attempt; it has {@code windDownS} seconds to save. */
  record Stop(String uid, int task, long attempt, double gracePeriodS) implements WorkerCommand {}

  /** Do not report the ended attempt any more. */
  record Forget(String uid, int task, long attempt) implements WorkerCommand {}
}
