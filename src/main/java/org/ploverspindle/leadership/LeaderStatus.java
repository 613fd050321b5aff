package org.ploverspindle.leadership;

import java.util.Locale;
import org.ploverspindle.cloud.Autoscaler;
import org.ploverspindle.cluster.JobTable;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.progress.ProgressWriter;

/** A leader's counts of jobs, machines, placements and terminations, for the status page. */
record LeaderStatus(
    JobTable jobs, MachineRegistry machines, ProgressWriter writer, Autoscaler autoscaler) {
  @Override
  public String toString() {
    int up = 0;
    int placed = 0;
    for (Machine machine : machines.all()) {
      up += machine.isUp() ? 1 : 0;
      placed += machine.placements().size();
    }
    return String.format(
        Locale.ROOT,
        "jobs=%d machines=%d up=%d placed=%d unwritten=%d\n%s",
        jobs.all().size(),
        machines.all().size(),
        up,
        placed,
        writer.backlogSize(),
        autoscaler.terminationStatus());
  }
}
