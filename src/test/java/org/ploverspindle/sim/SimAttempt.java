package org.ploverspindle.sim;

import java.util.Collection;
import java.util.Map;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.model.JobSpec;

/** An attempt on a simulated worker, from its launch command until the command to forget it. */
final class SimAttempt {
  final String uid;
  final int task;
  final long attempt;
  final long commandSentMs;
  Heartbeat.Phase phase = Heartbeat.Phase.FETCHING;
  Heartbeat.ExitReason exitReason = Heartbeat.ExitReason.NONE;
  boolean checkpointed;

  SimAttempt(String uid, int task, long attempt, long commandSentMs) {
    this.commandSentMs = commandSentMs;
    this.uid = uid;
    this.task = task;
    this.attempt = attempt;
  }

  /** Whether its task executes: from the end of the image fetch until the attempt exits. */
  boolean isExecuting() {
    return phase == Heartbeat.Phase.RUNNING || phase == Heartbeat.Phase.CHECKPOINTING;
  }

  /** How a heartbeat lists the attempt. */
  Heartbeat.TaskStatus status() {
    return new Heartbeat.TaskStatus(uid, task, attempt, phase, exitReason, checkpointed);
  }

  /** Whether another attempt of the task is among these and has not exited. */
  static boolean isOnMachine(Collection<SimAttempt> attempts, SimAttempt attempt) {
    return attempts.stream()
        .anyMatch(
            other ->
                other.uid.equals(attempt.uid)
                    && other.task == attempt.task
                    && other.phase != Heartbeat.Phase.EXITED);
  }

  /** The cores of the attempts that have not exited. */
  static double usedCores(Collection<SimAttempt> attempts, Map<String, JobSpec> specs) {
    return attempts.stream()
        .filter(other -> other.phase != Heartbeat.Phase.EXITED)
        .mapToDouble(other -> specs.get(other.uid).cores())
        .sum();
  }
}
