package org.ploverspindle.cluster;

/** A command to a machine's agent, about one attempt of a task. */
public sealed interface WorkerCommand {
  String uid();

  int task();

  long attempt();

  /** Start the attempt. It has no effect if the attempt is on the machine already. */
  record Launch(String uid, int task, long attempt) implements WorkerCommand {}

  /** Stop the attempt; it has {@code gracePeriodS} seconds to write a checkpoint. */
  record Stop(String uid, int task, long attempt, double gracePeriodS) implements WorkerCommand {}

  /** Leave the exited attempt out of further heartbeats. */
  record Forget(String uid, int task, long attempt) implements WorkerCommand {}
}
