package org.ploverspindle;

import java.util.Optional;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.Term;

/** Ignores what heartbeats show about tasks, for tests that do not check it. */
public final class NoOpHeartbeatListener implements HeartbeatHandler.Listener {
  /** A heartbeat handler of a leader whose lease is valid and that knows no jobs. */
  public static HeartbeatHandler heartbeatHandler(MachineRegistry registry, Term term) {
    return new HeartbeatHandler(
        registry,
        term,
        () -> true,
        uid -> Optional.empty(),
        uid -> Optional.empty(),
        (job, task) -> false,
        new NoOpHeartbeatListener());
  }

  @Override
  public void completed(Placement placement, long nowMs) {}

  @Override
  public void ended(
      Placement placement, Heartbeat.ExitReason exitReason, boolean checkpointed, long nowMs) {}

  @Override
  public void completedWithoutPlacement(Job job, int task) {}

  @Override
  public void phaseChanged(Placement placement) {}
}
