package org.ploverspindle;

import java.util.Optional;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.Term;

/** For tests that do not ask what reports show. */
public final class NoOpHeartbeatListener implements HeartbeatHandler.Listener {
  /** Takes reports in for a leader that is sure of its lead and knows of no job. */
  public static HeartbeatHandler reportHandler(MachineRegistry fleet, Term term) {
    return new HeartbeatHandler(
        fleet,
        term,
        () -> true,
        uid -> Optional.empty(),
        uid -> Optional.empty(),
        (job, task) -> false,
        new NoOpHeartbeatListener());
  }

  @Override
  public void completed(Placement p, long nowMs) {}

  @Override
  public void ended(Placement p, Heartbeat.ExitReason cause, boolean saved, long nowMs) {}

  @Override
  public void completedUnrecorded(Job job, int task) {}

  @Override
  public void phaseChanged(Placement p) {}
}
