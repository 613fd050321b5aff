package org.ploverspindle.workers;

/** What a worker is told to do. */
public sealed interface Order {
  String uid();

  int task();

  long attempt();

  record Launch(String uid, int task, long attempt) implements Order {}

  record Stop(String uid, int task, long attempt, double windDownS) implements Order {}

  record Forget(String uid, int task, long attempt) implements Order {}
}
