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

/** Boots of a type for which the cloud gives a boot time of 30 s. */
class BootTrackerTest {
  private static final Term TERM = new Term(7, 1, 0);
  private static final Settings.WorkerLimits WORKERS = new Settings.WorkerLimits(3, 14, 39);

  private final Catalogue catalogue = new Catalogue(List.of("a"));
  private final MachineRegistry fleet;
  private final HeartbeatHandler handler;
  private final BootTracker boots;
  private final MachineGroup group = new MachineGroup(0, 0, true);

  BootTrackerTest() {
    catalogue.update(
        List.of(
            new MachineType("t", Resources.offered(16, 0, 64), 40, 1, 1, 0.4, 30, List.of("a"))));
    TeamUsage teams = new TeamUsage(List.of(new Settings.Team("red", 0, 0, 0, 0)));
    fleet = new MachineRegistry(catalogue, teams, SafetyTiming.of(WORKERS, 1), TERM);
    handler = NoOpHeartbeatListener.heartbeatHandler(fleet, TERM);
    boots = new BootTracker(catalogue);
  }

  private List<Machine> provision(int from, int count, long atMs) {
    List<Machine> machines = new ArrayList<>();
    for (int i = from; i < from + count; i++) {
      Machine machine = fleet.adopt("i-" + i, "t", "a", true, atMs).orElseThrow();
      machine.provisionedAt(atMs);
      machines.add(machine);
    }
    return machines;
  }

  private void bootsAt(Machine machine, long nowMs) {
    handler.handle(
        new Heartbeat(
            machine.host(), "", "t", "a", true, 1, 1, 7, OptionalDouble.empty(), List.of()),
        nowMs);
  }

  @Test
  void aFewMachinesThatDoNotBootDoNotMakeTheirGroupBad() {
    provision(0, 10, 0).forEach(m -> bootsAt(m, 35_000));
    List<Machine> missing = provision(10, 2, 0);
    boots.observe(fleet.all(), 60_000);
    assertFalse(boots.isBootingBadly(group), "two of twelve are single failures");
    assertTrue(boots.isOverdue(missing.get(0), 60_000));
    assertFalse(boots.isStuck(missing.get(0), 100_000));
    assertTrue(boots.isStuck(missing.get(0), 106_000));
  }

  @Test
  void aGroupOfWhichNoMachineBootsIsBadAndItsMachinesAreOverdue() {
    List<Machine> booting = provision(0, 10, 0);
    boots.observe(fleet.all(), 50_000);
    assertFalse(boots.isBootingBadly(group));
    boots.observe(fleet.all(), 57_000);
    assertTrue(boots.isBootingBadly(group));
    assertTrue(booting.stream().allMatch(m -> boots.isOverdue(m, 57_000)));
    provision(10, 12, 60_000).forEach(m -> bootsAt(m, 90_000));
    boots.observe(fleet.all(), 90_000);
    assertFalse(boots.isBootingBadly(group), "machines boot in time again");
  }

  @Test
  void whereMachinesBootSlowlyTheOthersAreOverdueLater() {
    List<Machine> late = provision(0, 10, 0);
    boots.observe(fleet.all(), 80_000);
    assertTrue(boots.isOverdue(late.get(9), 80_000));
    late.subList(0, 3).forEach(m -> bootsAt(m, 90_000));
    boots.observe(fleet.all(), 90_000);
    assertFalse(boots.isOverdue(late.get(9), 110_000), "three times as long is usual now");
    assertFalse(boots.isStuck(late.get(9), 125_000));
    assertTrue(boots.isStuck(late.get(9), 135_000));
    boots.observe(fleet.all(), 300_000);
    assertTrue(boots.isOverdue(late.get(9), 300_000), "and is forgotten in time");
  }

  @Test
  void machinesOfAnEarlierLeaderThatWereUpDoNotCountAsBoots() {
    Machine earlier = fleet.adopt("i-1", "t", "a", true, 0).orElseThrow();
    bootsAt(earlier, 4_000);
    List<Machine> mine = provision(10, 3, 0);
    boots.observe(fleet.all(), 57_000);
    assertEquals(3, mine.stream().filter(x -> boots.isOverdue(x, 57_000)).count());
    assertTrue(boots.isBootingBadly(group));
  }
}
