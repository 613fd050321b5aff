package org.ploverspindle.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ploverspindle.NoOpHeartbeatListener;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.eventloop.EventLoop;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;

/** Machines that fell silent: few of them are lost; when most are, it is the leader's own line. */
class UnusableMachinesTest {
  private static final Term TERM = new Term(7, 1, 0);
  private static final Settings.WorkerLimits WORKERS = new Settings.WorkerLimits(3, 14, 39);
  private static final int MACHINES = 10;
  private static final long SILENT_MS = 60_000;

  private final Catalogue catalogue = new Catalogue(List.of("a"));
  private final MachineRegistry fleet;
  private final HeartbeatHandler handler;
  private final UnusableMachines useless;

  UnusableMachinesTest() {
    catalogue.update(
        List.of(
            new MachineType("t", Resources.offered(16, 0, 64), 40, 1, 1, 0.4, 30, List.of("a"))));
    TeamUsage teams = new TeamUsage(List.of(new Settings.Team("red", 0, 0, 0, 0)));
    fleet = new MachineRegistry(catalogue, teams, SafetyTiming.of(WORKERS, 1), TERM);
    handler = NoOpHeartbeatListener.reportHandler(fleet, TERM);
    Policy policy = new Policy(10, 30, 60, 0, 100, 30, Map.of());
    GroupBackoffs backoffs = new GroupBackoffs(new EventLoop(), catalogue, policy, new Random(1));
    useless =
        new UnusableMachines(fleet, new BootTracker(catalogue), backoffs, 0, WORKERS.leaseS());
  }

  private void report(int machine, int tally, long nowMs, long warrant) {
    handler.handle(
        new Heartbeat(
            "i-" + machine,
            "",
            "t",
            "a",
            true,
            1,
            tally,
            warrant,
            OptionalDouble.empty(),
            List.of()),
        nowMs);
  }

  private long useless(long nowMs) {
    FleetConnectivity hearing = useless.connectivity(nowMs);
    return fleet.all().stream().filter(m -> useless.test(m, nowMs, hearing)).count();
  }

  @ParameterizedTest
  @CsvSource({"3, 3", "5, 5", "6, 0", "10, 0"})
  void silentMachinesGoBackUnlessMostAreSilent(int silent, int expected) {
    for (int i = 0; i < MACHINES; i++) {
      report(i, 1, 1_000, TERM.fencingToken());
    }
    for (int i = silent; i < MACHINES; i++) {
      report(i, 2, SILENT_MS, TERM.fencingToken());
    }
    assertEquals(expected, useless(SILENT_MS));
    assertEquals(0, useless(20_000), "their next session may begin late");
  }

  @Test
  void machinesThatTheListCondemnedGoAndThoseUnderReturnTakeNoWork() {
    report(0, 1, 1_000, TERM.fencingToken());
    report(1, 1, 1_000, TERM.fencingToken());
    Machine condemned = fleet.get("i-0").orElseThrow();
    condemned.markUnusable();
    assertEquals(1, useless(2_000));
    fleet.beginTermination("i-1");
    Machine returning = fleet.get("i-1").orElseThrow();
    assertEquals(
        List.of(false, false),
        List.of(condemned, returning).stream()
            .map(machine -> machine.isSchedulable(2_000, 5_000))
            .toList());
  }
}
