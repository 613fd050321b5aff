package org.ploverspindle.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.ploverspindle.placement.SixteenCoreMachine.NOW;
import static org.ploverspindle.placement.SixteenCoreMachine.TEAMS;
import static org.ploverspindle.placement.SixteenCoreMachine.fleet;
import static org.ploverspindle.placement.SixteenCoreMachine.job;
import static org.ploverspindle.placement.SixteenCoreMachine.receiveHeartbeat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.model.Priority;
import org.ploverspindle.settings.Settings;

/**
 * Guards against preemption that stops more tasks than a job needs, tasks of the same priority, or
 * tasks that have just started or will end soon, and against plans that differ from those of a
 * search over all machines for every task.
 */
class PreemptionTest {
  /**
   * Fills the machine with four running tasks of the priority, then asks for room for a job of high
   * priority with two tasks. Returns how many tasks are stopped.
   */
  private static int stoppedTaskCount(Priority running, double expectedS, long ranMs) {
    return stoppedTaskCount(running, expectedS, ranMs, new ServiceLevelObjectives(List.of()));
  }

  private static int stoppedTaskCount(
      Priority running, double expectedS, long ranMs, ServiceLevelObjectives objectives) {
    MachineRegistry fleet = fleet();
    Machine machine = fleet.get("i-1").orElseThrow();
    Job victim = job("run-1", running, 4, expectedS, 500);
    victim.compatibleTypes().set(0);
    List<Heartbeat.TaskStatus> tasks = new ArrayList<>();
    for (int task = 0; task < 4; task++) {
      fleet.addPlacement(
          new Placement(victim, task, task + 1, machine, 1, Placement.Phase.RECOVERED));
      tasks.add(
          new Heartbeat.TaskStatus(
              "run-1", task, task + 1, Heartbeat.Phase.RUNNING, Heartbeat.ExitReason.NONE, false));
    }
    receiveHeartbeat(fleet, 2, tasks);
    Job high = job("run-2", Priority.HIGH, 2, 10, 60);
    high.compatibleTypes().set(0);
    return new Preemption(fleet, TEAMS, new RuntimeEstimates(), objectives, 1_000_000)
        .run(List.of(high), NOW + ranMs);
  }

  @Test
  void onlyAsManyLowerPriorityTasksAreStoppedAsNeeded() {
    assertEquals(2, stoppedTaskCount(Priority.NORMAL, 400, 60_000));
  }

  @Test
  void samePriorityTasksAreNotStopped() {
    assertEquals(0, stoppedTaskCount(Priority.HIGH, 400, 60_000));
  }

  @Test
  void tasksThatJustStartedOrWillEndSoonAreNotStopped() {
    ServiceLevelObjectives promptStart =
        new ServiceLevelObjectives(List.of(new Settings.Objective("wait", "c", 0.9, 1, 5)));
    assertEquals(0, stoppedTaskCount(Priority.NORMAL, 400, 10_000, promptStart));
    assertEquals(
        2, stoppedTaskCount(Priority.NORMAL, 400, 10_000), "no objective requires a prompt start");
    assertEquals(0, stoppedTaskCount(Priority.NORMAL, 65, 60_000));
  }

  @ParameterizedTest
  @CsvSource({"1,40", "2,40", "3,300", "4,300", "5,1700"})
  void stoppedTasksEqualThoseOfTheReference(long seed, int machines) {
    Random random = new Random(seed);
    RandomFleet fleet = new RandomFleet(random, machines);
    List<Job> pending = new ArrayList<>();
    for (int i = 100; i < 112; i++) {
      Priority priority = Priority.values()[random.nextInt(4)];
      pending.add(fleet.job(i, priority, 1 + random.nextInt(20)));
    }
    TreeSet<String> expected =
        new ReferencePreemption(fleet).run(pending, Math.max(24, machines / 10));
    ServiceLevelObjectives noObjectives = new ServiceLevelObjectives(List.of());
    new Preemption(fleet.machines, fleet.teams, fleet.estimates, noObjectives, 60_000)
        .run(pending, RandomFleet.NOW);
    TreeSet<String> stopped = new TreeSet<>();
    for (Machine machine : fleet.machines.all()) {
      machine.placements().stream()
          .filter(Placement::isStopping)
          .forEach(placement -> stopped.add(ReferencePreemption.name(placement)));
    }
    assertTrue(
        expected.size() >= 5,
        expected.size() + " tasks stopped by the reference, at least 5 expected");
    assertEquals(expected, stopped);
  }
}
