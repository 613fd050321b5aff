package org.ploverspindle.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.ploverspindle.NoOpHeartbeatListener;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.placement.MachineGroup;
import org.ploverspindle.settings.Settings;

/**
 * Guards against two failures of scale-out: work that cannot wait keeps waiting for machines of a
 * group that boots very slowly or not at all, or single machines that never come up exclude their
 * whole group. The machine type has a stated boot time of 30 s.
 */
class BootTrackerTest {
  private static final Term TERM = new Term(7, 1, 0);
  private static final Settings.WorkerLimits WORKERS = new Settings.WorkerLimits(3, 14, 39);

  private final Catalogue catalogue = new Catalogue(List.of("a"));
  private final MachineRegistry fleet;
  private final HeartbeatHandler handler;
  private final BootTracker bootTracker;
  private final MachineGroup group = new MachineGroup(0, 0, true);

  BootTrackerTest() {
    catalogue.update(
        List.of(
            new MachineType("t", Resources.offered(16, 0, 64), 40, 1, 1, 0.4, 30, List.of("a"))));
    TeamUsage teams = new TeamUsage(List.of(new Settings.Team("red", 0, 0, 0, 0)));
    fleet = new MachineRegistry(catalogue, teams, SafetyTiming.of(WORKERS, 1), TERM);
    handler = NoOpHeartbeatListener.heartbeatHandler(fleet, TERM);
    bootTracker = new BootTracker(catalogue);
  }

  private List<Machine> provision(int firstIndex, int count, long atMs) {
    List<Machine> machines = new ArrayList<>();
    for (int i = firstIndex; i < firstIndex + count; i++) {
      Machine machine = fleet.adopt("i-" + i, "t", "a", true, atMs).orElseThrow();
      machine.recordProvisioned(atMs);
      machines.add(machine);
    }
    return machines;
  }

  private void sendFirstHeartbeat(Machine machine, long nowMs) {
    handler.handle(
        new Heartbeat(
            machine.host(), "", "t", "a", true, 1, 1, 7, OptionalDouble.empty(), List.of()),
        nowMs);
  }

  @Test
  void twoOverdueMachinesOfTwelveDoNotMakeTheirGroupLate() {
    provision(0, 10, 0).forEach(machine -> sendFirstHeartbeat(machine, 35_000));
    List<Machine> booting = provision(10, 2, 0);
    bootTracker.observe(fleet.all(), 60_000);
    assertFalse(bootTracker.isBootingLate(group), "2 overdue of 12 machines are single failures");
    assertTrue(bootTracker.isOverdue(booting.get(0), 60_000));
    assertFalse(bootTracker.isStuck(booting.get(0), 100_000));
    assertTrue(bootTracker.isStuck(booting.get(0), 106_000));
  }

  @Test
  void groupWithoutBootsIsLateUntilBootsOutnumberItsOverdueMachines() {
    List<Machine> booting = provision(0, 10, 0);
    bootTracker.observe(fleet.all(), 50_000);
    assertFalse(bootTracker.isBootingLate(group));
    bootTracker.observe(fleet.all(), 57_000);
    assertTrue(bootTracker.isBootingLate(group));
    assertTrue(booting.stream().allMatch(machine -> bootTracker.isOverdue(machine, 57_000)));
    provision(10, 12, 60_000).forEach(machine -> sendFirstHeartbeat(machine, 90_000));
    bootTracker.observe(fleet.all(), 90_000);
    assertFalse(
        bootTracker.isBootingLate(group),
        "12 recent boots in time outnumber the 10 overdue machines");
  }

  @Test
  void slowRecentBootsDelayWhenOtherMachinesAreOverdueOrStuck() {
    List<Machine> booting = provision(0, 10, 0);
    bootTracker.observe(fleet.all(), 80_000);
    assertTrue(bootTracker.isOverdue(booting.get(9), 80_000));
    booting.subList(0, 3).forEach(machine -> sendFirstHeartbeat(machine, 90_000));
    bootTracker.observe(fleet.all(), 90_000);
    assertFalse(
        bootTracker.isOverdue(booting.get(9), 110_000),
        "the group's recent boots took three times the stated boot time");
    assertFalse(bootTracker.isStuck(booting.get(9), 125_000));
    assertTrue(bootTracker.isStuck(booting.get(9), 135_000));
    bootTracker.observe(fleet.all(), 300_000);
    assertTrue(
        bootTracker.isOverdue(booting.get(9), 300_000),
        "boots observed over 120 s ago no longer count");
  }

  @Test
  void firstHeartbeatOfAnInheritedMachineDoesNotCountAsBoot() {
    Machine inherited = fleet.adopt("i-1", "t", "a", true, 0).orElseThrow();
    sendFirstHeartbeat(inherited, 4_000);
    List<Machine> booting = provision(10, 3, 0);
    bootTracker.observe(fleet.all(), 57_000);
    assertEquals(
        3, booting.stream().filter(machine -> bootTracker.isOverdue(machine, 57_000)).count());
    assertTrue(bootTracker.isBootingLate(group));
  }
}
