package org.ploverspindle;

import org.ploverspindle.jobs.Job;
import org.ploverspindle.workers.Placement;
import org.ploverspindle.workers.Report;
import org.ploverspindle.workers.ReportHandler;

/** For tests that do not ask what reports show. */
public final class NoNews implements ReportHandler.Listener {
  @Override
  public void completed(Placement p, long nowMs) {}

  @Override
  public void ended(Placement p, Report.Cause cause, boolean saved, long nowMs) {}

  @Override
  public void completedUnplaced(Job job, int task) {}

  @Override
  public void moved(Placement p) {}
}
