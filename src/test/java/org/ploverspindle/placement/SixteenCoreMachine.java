package org.ploverspindle.placement;

import java.util.List;
import java.util.OptionalDouble;
import org.ploverspindle.JobFixtures;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.NoOpHeartbeatListener;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.settings.Settings;

/** A fleet of one machine with 16 cores, and jobs of team red whose tasks take 4 cores. */
final class SixteenCoreMachine {
  static final long NOW = 10_000;
  static final Term TERM = new Term(7, 1, 0);
  static final TeamUsage TEAMS = new TeamUsage(List.of(new Settings.Team("red", 0, 0, 0, 0)));

  private SixteenCoreMachine() {}

  static Job job(String uid, Priority priority, int tasks, double runS, double deadlineS) {
    JobSpec spec = JobSpecFixtures.batch(uid, "c", "red", priority, tasks, 4, 1, runS, deadlineS);
    return JobFixtures.job(spec, 80);
  }

  /** Returns the fleet; its machine is empty and has accepted the leader's fencing token. */
  static MachineRegistry fleet() {
    Catalogue catalogue = new Catalogue(List.of("a"));
    catalogue.update(
        List.of(
            new MachineType("t", Resources.offered(16, 0, 64), 40, 1, 1, 0.4, 30, List.of("a"))));
    MachineRegistry fleet =
        new MachineRegistry(
            catalogue, TEAMS, SafetyTiming.of(new Settings.WorkerLimits(3, 14, 39), 1), TERM);
    receiveHeartbeat(fleet, 1, List.of());
    return fleet;
  }

  /** Has the leader receive a heartbeat of the machine with this sequence number and tasks. */
  static void receiveHeartbeat(
      MachineRegistry fleet, int sequence, List<Heartbeat.TaskStatus> tasks) {
    Heartbeat heartbeat =
        new Heartbeat("i-1", "", "t", "a", true, 1, sequence, 7, OptionalDouble.empty(), tasks);
    NoOpHeartbeatListener.heartbeatHandler(fleet, TERM).handle(heartbeat, NOW);
  }
}
