package org.ploverspindle.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.NoOpHeartbeatListener;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.cluster.TeamUsage;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.settings.Settings;

class AdmissionOrderTest {
  private static final long NOW = 10_000;
  private static final Term TERM = new Term(7, 1, 0);

  private static Job job(String uid, Priority urgency, int tasks, double runS, double dueS) {
    JobSpec spec = JobSpecFixtures.batch(uid, "c", "red", urgency, tasks, 4, 1, runS, dueS);
    return new Job(spec, 0, 80, 0, new BitSet(), -1, 1);
  }

  private static final TeamUsage TEAMS =
      new TeamUsage(List.of(new Settings.Team("red", 0, 0, 0, 0)));

  /** One machine of 16 cores, empty and under our token. */
  private static MachineRegistry fleet() {
    Catalogue catalogue = new Catalogue(List.of("a"));
    catalogue.update(
        List.of(
            new MachineType("t", Resources.offered(16, 0, 64), 40, 1, 1, 0.4, 30, List.of("a"))));
    MachineRegistry fleet =
        new MachineRegistry(
            catalogue, TEAMS, SafetyTiming.of(new Settings.WorkerLimits(3, 14, 39), 1), TERM);
    reportHandler(fleet)
        .handle(
            new Heartbeat("i-1", "", "t", "a", true, 1, 1, 7, OptionalDouble.empty(), List.of()),
            NOW);
    return fleet;
  }

  private static HeartbeatHandler reportHandler(MachineRegistry fleet) {
    return NoOpHeartbeatListener.reportHandler(fleet, TERM);
  }

  /** Fills the machine with four running tasks of the urgency and asks for room for a HIGH job. */
  private static int stoppedFor(Priority running, double expectedS, long ranMs) {
    return stoppedFor(running, expectedS, ranMs, new ServiceLevelObjectives(List.of()));
  }

  private static int stoppedFor(
      Priority running, double expectedS, long ranMs, ServiceLevelObjectives aims) {
    MachineRegistry fleet = fleet();
    var machine = fleet.get("i-1").orElseThrow();
    Job victim = job("run-1", running, 4, expectedS, 500);
    victim.types().set(0);
    List<Heartbeat.TaskStatus> items = new java.util.ArrayList<>();
    for (int task = 0; task < 4; task++) {
      fleet.addPlacement(
          new Placement(victim, task, task + 1, machine, 1, Placement.Phase.RECOVERED));
      items.add(
          new Heartbeat.TaskStatus(
              "run-1", task, task + 1, Heartbeat.Phase.RUNNING, Heartbeat.ExitReason.NONE, false));
    }
    reportHandler(fleet)
        .handle(
            new Heartbeat("i-1", "", "t", "a", true, 1, 2, 7, OptionalDouble.empty(), items), NOW);
    Job high = job("run-2", Priority.HIGH, 2, 10, 60);
    high.types().set(0);
    return new Preemption(fleet, TEAMS, new RuntimeEstimates(), aims, 1_000_000)
        .run(List.of(high), NOW + ranMs);
  }

  @Test
  void lowerUrgencyGivesWayTaskByTask() {
    assertEquals(2, stoppedFor(Priority.NORMAL, 400, 60_000));
  }

  @Test
  void theSameUrgencyIsNotStopped() {
    assertEquals(0, stoppedFor(Priority.HIGH, 400, 60_000));
  }

  @Test
  void whatHasJustBegunOrWillSoonEndIsLeftAlone() {
    ServiceLevelObjectives prompt =
        new ServiceLevelObjectives(List.of(new Settings.Objective("wait", "c", 0.9, 1, 5)));
    assertEquals(0, stoppedFor(Priority.NORMAL, 400, 10_000, prompt));
    assertEquals(2, stoppedFor(Priority.NORMAL, 400, 10_000), "nobody waits for its start");
    assertEquals(0, stoppedFor(Priority.NORMAL, 65, 60_000));
  }

  private static List<String> order(Job... byStart) {
    return order(Map.of(), byStart);
  }

  private static List<String> order(Map<Integer, Capacity> ofTeams, Job... byStart) {
    Function<Job, OptionalDouble> slack =
        j -> {
          double s = j.spec().deadlineS().orElseThrow() - j.spec().expectedS();
          return s < 0 ? OptionalDouble.empty() : OptionalDouble.of(s);
        };
    RuntimeEstimates estimates = new RuntimeEstimates();
    Capacity all = new Capacity(fleet(), estimates, NOW, 60_000);
    return new AdmissionOrder(slack, all, ofTeams, estimates, NOW)
        .order(List.of(byStart)).stream().map(Job::uid).toList();
  }

  @Test
  void withRoomForAllTheOrderStays() {
    assertEquals(
        List.of("run-1", "run-2"),
        order(job("run-1", Priority.NORMAL, 4, 10, 30), job("run-2", Priority.NORMAL, 4, 10, 60)));
  }

  @Test
  void theLargestStepsBackWhenItWouldMakeOthersLate() {
    assertEquals(
        List.of("run-2", "run-3", "run-1"),
        order(
            job("run-1", Priority.NORMAL, 60, 10, 30),
            job("run-2", Priority.NORMAL, 4, 10, 32),
            job("run-3", Priority.NORMAL, 4, 10, 34)));
  }

  @Test
  void whatCanNoLongerBeInTimeIsServedLastAndTheLeastWorkFirst() {
    assertEquals(
        List.of("run-3", "run-2", "run-1"),
        order(
            job("run-1", Priority.NORMAL, 9, 50, 20),
            job("run-2", Priority.NORMAL, 2, 50, 20),
            job("run-3", Priority.NORMAL, 4, 10, 60)));
  }

  @Test
  void theLargestOfATeamStepsBackWhenTheTeamsLimitIsWhatMakesOthersLate() {
    Job[] jobs = {
      job("run-1", Priority.NORMAL, 8, 10, 30),
      job("run-2", Priority.NORMAL, 2, 10, 32),
      job("run-3", Priority.NORMAL, 2, 10, 34)
    };
    assertEquals(List.of("run-1", "run-2", "run-3"), order(jobs));
    // All 16 cores of the machine are free, and the team may use four of them.
    Capacity limited = new Capacity(List.of(), 4_000, new RuntimeEstimates(), NOW);
    assertEquals(List.of("run-2", "run-3", "run-1"), order(Map.of(0, limited), jobs));
  }

  @Test
  void aLowerUrgencyNeverGoesFirst() {
    List<String> order =
        order(job("run-1", Priority.HIGH, 90, 50, 20), job("run-2", Priority.NORMAL, 1, 1, 60));
    assertEquals(List.of("run-1", "run-2"), order);
  }

  @Test
  void arrivalsAreOverOnlyAfterALongPause() {
    ArrivalForecast arrivals = new ArrivalForecast();
    for (int i = 0; i < 10; i++) {
      arrivals.recordSubmission(1_000L * 4 * i);
    }
    assertFalse(arrivals.submissionsStopped(36_000 + 20_000));
    assertTrue(arrivals.submissionsStopped(36_000 + 29_000));
    assertFalse(
        new ArrivalForecast().submissionsStopped(1_000_000), "where nothing came nothing is over");
  }

  @Test
  void stepsThatBecomeReadyAreNoSubmissionsAndMayStillBeFollowed() {
    ArrivalForecast arrivals = new ArrivalForecast();
    for (int i = 0; i < 10; i++) {
      arrivals.recordSubmission(1_000L * 4 * i);
    }
    for (int i = 0; i < 10; i++) {
      arrivals.recordReady(36_000 + 1_000L * 4 * i);
    }
    assertTrue(arrivals.submissionsStopped(36_000 + 29_000), "users have stopped");
    assertFalse(arrivals.arrivalsStopped(36_000 + 29_000), "the pipelines have not");
    assertTrue(arrivals.arrivalsStopped(72_000 + 29_000));
  }
}
