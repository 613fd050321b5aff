package org.ploverspindle.cluster;

/** A command to a worker about one attempt of a task. */
public sealed interface WorkerCommand {
  String uid();

  int task();

  long attempt();

  /** Starts the attempt. Has no effect if the attempt is on the machine already. */
  record Launch(String uid, int task, long attempt) implements WorkerCommand {}

  /** Stops the attempt, which has {@code gracePeriodS} seconds to write a checkpoint. */
  record Stop(String uid, int task, long attempt, double gracePeriodS) implements WorkerCommand {}

  /** Tells the worker to leave the exited attempt out of further heartbeats. */
  record Forget(String uid, int task, long attempt) implements WorkerCommand {}
}
