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

/**
 * Guards against the termination of machines that work. When the heartbeats of most machines stop
 * at the same time, the leader is partitioned from them, and none of them may be selected for it.
 * Silent machines are selected only while at least half of the machines that are up send
 * heartbeats, and only some time after their worker lease has expired.
 */
class UnusableMachinesTest {
  private static final Term TERM = new Term(7, 1, 0);
  private static final Settings.WorkerLimits WORKERS = new Settings.WorkerLimits(3, 14, 39);
  private static final int MACHINE_COUNT = 10;
  private static final long CHECK_MS = 60_000;

  private final Catalogue catalogue = new Catalogue(List.of("a"));
  private final MachineRegistry fleet;
  private final HeartbeatHandler handler;
  private final UnusableMachines unusableMachines;

  UnusableMachinesTest() {
    catalogue.update(
        List.of(
            new MachineType("t", Resources.offered(16, 0, 64), 40, 1, 1, 0.4, 30, List.of("a"))));
    TeamUsage teams = new TeamUsage(List.of(new Settings.Team("red", 0, 0, 0, 0)));
    fleet = new MachineRegistry(catalogue, teams, SafetyTiming.of(WORKERS, 1), TERM);
    handler = NoOpHeartbeatListener.heartbeatHandler(fleet, TERM);
    Policy policy = new Policy(10, 30, 60, 0, 100, 30, Map.of());
    GroupBackoffs backoffs = new GroupBackoffs(new EventLoop(), catalogue, policy, new Random(1));
    unusableMachines =
        new UnusableMachines(fleet, new BootTracker(catalogue), backoffs, 0, WORKERS.leaseS());
  }

  private void sendHeartbeat(int machine, int sequence, long nowMs, long fencingToken) {
    handler.handle(
        new Heartbeat(
            "i-" + machine,
            "",
            "t",
            "a",
            true,
            1,
            sequence,
            fencingToken,
            OptionalDouble.empty(),
            List.of()),
        nowMs);
  }

  private long selectedCount(long nowMs) {
    FleetConnectivity connectivity = unusableMachines.connectivity(nowMs);
    return fleet.all().stream()
        .filter(machine -> unusableMachines.mustTerminate(machine, nowMs, connectivity))
        .count();
  }

  @ParameterizedTest
  @CsvSource({"3, 3", "5, 5", "6, 0", "10, 0"})
  void silentMachinesAreSelectedUnlessMoreThanHalfAreSilent(int silentCount, int expectedCount) {
    for (int i = 0; i < MACHINE_COUNT; i++) {
      sendHeartbeat(i, 1, 1_000, TERM.fencingToken());
    }
    for (int i = silentCount; i < MACHINE_COUNT; i++) {
      sendHeartbeat(i, 2, CHECK_MS, TERM.fencingToken());
    }
    assertEquals(expectedCount, selectedCount(CHECK_MS));
    assertEquals(
        0, selectedCount(20_000), "the next worker epoch of a silent machine may begin late");
  }

  @Test
  void unusableMachineIsSelectedAndUnusableOrTerminatingMachinesAreNotSchedulable() {
    sendHeartbeat(0, 1, 1_000, TERM.fencingToken());
    sendHeartbeat(1, 1, 1_000, TERM.fencingToken());
    Machine markedUnusable = fleet.get("i-0").orElseThrow();
    markedUnusable.markUnusable();
    assertEquals(1, selectedCount(2_000));
    fleet.beginTermination("i-1");
    Machine terminating = fleet.get("i-1").orElseThrow();
    assertEquals(
        List.of(false, false),
        List.of(markedUnusable, terminating).stream()
            .map(machine -> machine.isSchedulable(2_000, 5_000))
            .toList());
  }
}
