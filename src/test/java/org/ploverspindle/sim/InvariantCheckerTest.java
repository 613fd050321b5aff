package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ploverspindle.JobSpecBuilder;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Resources;

/** The checker reports each rule when it is violated, and nothing when none is. */
class InvariantCheckerTest {
  private static final InvariantChecker.Place ZONE_A =
      new InvariantChecker.Place("i-1", "small", "a", false);
  private static final InvariantChecker.Place ZONE_B =
      new InvariantChecker.Place("i-2", "small", "b", false);

  private final SimClock clock = new SimClock();
  private final InvariantChecker checker =
      new InvariantChecker(
          clock,
          SimulatedCluster.settings(
              "n0", SimulatedCluster.Deployment.small(3, 14, List.of("a", "b"))));

  private static JobSpec spec(String uid, double cores, boolean oneZone, boolean spread) {
    return JobSpecBuilder.job(uid)
        .team("red")
        .tasks(2)
        .cores(cores)
        .oneZone(oneZone)
        .spreadOverZones(spread)
        .spot(false)
        .expectedS(5)
        .build();
  }

  private void assertOnlyViolation(InvariantChecker.Rule rule) {
    assertEquals(
        List.of(rule),
        checker.violations().stream().map(InvariantChecker.Violation::rule).toList());
  }

  @Test
  void jobThatRunsEachTaskOnceIsNotReported() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.recordAnswer("run-1", 201, "queued", true, clock.nowMs());
    for (int task = 0; task < 2; task++) {
      checker.starts("run-1", task, ZONE_A);
      checker.recordCompletion("run-1", task);
      checker.recordStop("run-1", task, ZONE_A);
    }
    checker.recordAnswer("run-1", 200, "done", false, clock.nowMs());
    assertEquals(List.of(), checker.violations());
  }

  @Test
  void taskOnTwoMachinesIsReportedAsRanTwice() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.starts("run-1", 0, ZONE_A);
    checker.starts("run-1", 0, ZONE_B);
    assertOnlyViolation(InvariantChecker.Rule.RAN_TWICE);
  }

  @Test
  void teamAboveItsCoreLimitIsReportedAsQuota() {
    checker.submitted(spec("run-1", 20, false, false));
    checker.starts("run-1", 0, ZONE_A);
    checker.starts("run-1", 1, ZONE_A);
    assertOnlyViolation(InvariantChecker.Rule.QUOTA);
  }

  @Test
  void oneZoneJobInTwoZonesIsReportedAsWrongPlace() {
    checker.submitted(spec("run-1", 1, true, false));
    checker.starts("run-1", 0, ZONE_A);
    checker.starts("run-1", 1, ZONE_B);
    assertOnlyViolation(InvariantChecker.Rule.WRONG_PLACE);
  }

  @Test
  void spreadJobInOneZoneIsReportedAsWrongPlace() {
    checker.submitted(spec("run-1", 1, false, true));
    checker.starts("run-1", 0, ZONE_A);
    checker.starts("run-1", 1, ZONE_A);
    assertOnlyViolation(InvariantChecker.Rule.WRONG_PLACE);
  }

  @Test
  void spotMachineForAJobWithoutSpotIsReportedAsWrongPlace() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.starts("run-1", 0, new InvariantChecker.Place("i-3", "small", "a", true));
    assertOnlyViolation(InvariantChecker.Rule.WRONG_PLACE);
  }

  @Test
  void taskRunningAfterTheCancellationTimeIsReportedAsRanCancelled() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.starts("run-1", 0, ZONE_A);
    checker.recordCancellationRequest("run-1");
    checker.recordAnswer("run-1", 200, "aborted", false, clock.nowMs());
    clock.runUntil(20_001);
    checker.checkOverdue();
    assertOnlyViolation(InvariantChecker.Rule.RAN_CANCELLED);
  }

  @Test
  void notFoundAnswerForAnAcceptedJobIsReportedAsForgotten() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.recordAnswer("run-1", 201, "queued", true, clock.nowMs());
    clock.runUntil(5);
    checker.recordAnswer("run-1", 404, "", false, clock.nowMs());
    assertOnlyViolation(InvariantChecker.Rule.FORGOTTEN);
  }

  @Test
  void answerForAJobNeverSubmittedIsReportedAsInvented() {
    checker.recordAnswer("run-9", 200, "queued", false, clock.nowMs());
    assertOnlyViolation(InvariantChecker.Rule.INVENTED);
  }

  @Test
  void doneWithIncompleteTasksIsReportedAsNotDone() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.recordCompletion("run-1", 0);
    checker.recordAnswer("run-1", 200, "done", false, clock.nowMs());
    assertOnlyViolation(InvariantChecker.Rule.NOT_DONE);
  }

  @Test
  void runningAfterAbortedIsReportedAsWentBack() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.recordCancellationRequest("run-1");
    checker.recordAnswer("run-1", 200, "aborted", false, clock.nowMs());
    checker.recordAnswer("run-1", 200, "running", false, clock.nowMs());
    assertOnlyViolation(InvariantChecker.Rule.WENT_BACK);
  }

  @Test
  void abortedWithoutACancellationIsReportedAsWentBack() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.recordAnswer("run-1", 200, "aborted", false, clock.nowMs());
    assertOnlyViolation(InvariantChecker.Rule.WENT_BACK);
  }

  @Test
  void pollsWithoutAnAnswerAreReportedAsUnanswered() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.recordAnswer("run-1", 201, "queued", true, clock.nowMs());
    clock.runUntil(10_000);
    checker.faultsEnded();
    checker.recordPoll("run-1");
    clock.runUntil(84_000);
    checker.checkOverdue();
    assertEquals(List.of(), checker.violations());
    clock.runUntil(86_000);
    checker.checkOverdue();
    assertOnlyViolation(InvariantChecker.Rule.UNANSWERED);
  }

  @Test
  void anAnswerRestartsTheUnansweredTime() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.recordAnswer("run-1", 201, "queued", true, clock.nowMs());
    checker.faultsEnded();
    for (int minute = 1; minute <= 4; minute++) {
      checker.recordPoll("run-1");
      clock.runUntil(60_000 * minute);
      checker.recordAnswer("run-1", 200, "queued", false, clock.nowMs());
      checker.checkOverdue();
    }
    assertEquals(List.of(), checker.violations());
  }

  @Test
  void classServedLessThanHalfIsReportedAsStarved() {
    for (String uid : List.of("run-1", "run-2", "run-3")) {
      checker.submitted(spec(uid, 1, false, false));
      checker.recordAnswer(uid, 201, "queued", true, clock.nowMs());
      checker.starts(uid, 0, ZONE_A);
      checker.recordStop(uid, 0, ZONE_A);
    }
    checker.recordCompletion("run-1", 0);
    checker.recordCompletion("run-1", 1);
    checker.checkService();
    assertEquals(
        List.of(
            InvariantChecker.Rule.STARVED,
            InvariantChecker.Rule.STARVED,
            InvariantChecker.Rule.STARVED),
        checker.violations().stream().map(InvariantChecker.Violation::rule).toList(),
        "violations for the class, the team and the largest jobs of the class");
  }

  @Test
  void largestJobThatStartsTooLateIsReportedAsStarved() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.recordAnswer("run-1", 201, "queued", true, clock.nowMs());
    clock.runUntil(240_001);
    for (int task = 0; task < 2; task++) {
      checker.starts("run-1", task, ZONE_A);
      checker.recordCompletion("run-1", task);
    }
    checker.checkService();
    assertOnlyViolation(InvariantChecker.Rule.STARVED);
  }

  private void submitAccepted(JobSpec spec) {
    checker.submitted(spec);
    checker.recordAnswer(spec.uid(), 201, "queued", true, clock.nowMs());
  }

  private void checkEverySecond(int seconds) {
    for (int i = 0; i < seconds; i++) {
      clock.runUntil(clock.nowMs() + 1_000);
      checker.checkOverdue();
    }
  }

  private static void machineUp(
      InvariantChecker checker, InvariantChecker.Place place, double cores) {
    checker.machineUp(place, Resources.offered(cores, 0, 16), () -> true);
  }

  @Test
  void jobWaitingBesideAnIdleMachineIsReportedAsIdleRoom() {
    submitAccepted(spec("run-1", 2, false, false));
    machineUp(checker, ZONE_A, 4);
    checker.faultsEnded();
    checkEverySecond(91);
    assertEquals(List.of(), checker.violations());
    checkEverySecond(1);
    assertOnlyViolation(InvariantChecker.Rule.IDLE_ROOM);
  }

  @Test
  void taskWaitingBesideRoomWhileAnotherRunsIsReportedAsIdleRoom() {
    submitAccepted(spec("run-1", 2, false, false));
    machineUp(checker, ZONE_A, 4);
    checker.starts("run-1", 0, ZONE_A);
    checker.faultsEnded();
    checkEverySecond(95);
    assertOnlyViolation(InvariantChecker.Rule.IDLE_ROOM);
  }

  /**
   * run-1 is larger than each machine. The machine in the zone of run-2 is full. All tasks of run-3
   * run. The two machines with room are one that is not usable and a spot machine.
   */
  @Test
  void jobsWithoutUsableRoomOrWithAllTasksRunningAreNotReported() {
    machineUp(checker, ZONE_A, 4);
    submitAccepted(spec("run-1", 5, false, false));
    submitAccepted(spec("run-2", 3, true, false));
    machineUp(checker, ZONE_B, 2);
    checker.starts("run-2", 0, ZONE_A);
    submitAccepted(spec("run-3", 1, false, true));
    checker.starts("run-3", 0, ZONE_B);
    checker.machineUp(
        new InvariantChecker.Place("i-4", "small", "b", false),
        Resources.offered(4, 0, 16),
        () -> false);
    checker.machineUp(
        new InvariantChecker.Place("i-5", "small", "b", true),
        Resources.offered(4, 0, 16),
        () -> true);
    checker.starts("run-3", 1, ZONE_A);
    checker.faultsEnded();
    checkEverySecond(200);
    assertEquals(List.of(), checker.violations());
  }

  @Test
  void waitingJobOfATeamAtItsLimitIsNotReported() {
    InvariantChecker.Place largeMachine = new InvariantChecker.Place("i-6", "large", "a", false);
    checker.machineUp(largeMachine, Resources.offered(30, 0, 64), () -> true);
    submitAccepted(spec("run-1", 13, false, false));
    checker.starts("run-1", 0, largeMachine);
    checker.faultsEnded();
    checkEverySecond(200);
    assertEquals(List.of(), checker.violations());
  }

  @Test
  void jobWithAStartEveryMinuteIsNotReported() {
    submitAccepted(spec("run-1", 1, false, false));
    machineUp(checker, ZONE_A, 4);
    checker.faultsEnded();
    for (int i = 0; i < 4; i++) {
      checkEverySecond(60);
      checker.starts("run-1", 0, ZONE_A);
      checker.recordStop("run-1", 0, ZONE_A);
    }
    assertEquals(List.of(), checker.violations());
  }

  @Test
  void startsAfterAConfirmedCancellationAreListedWithTheirCommandTimes() {
    submitAccepted(spec("run-1", 1, false, false));
    checker.recordCancellationRequest("run-1");
    clock.runUntil(1_000);
    checker.recordAnswer("run-1", 200, "aborted", false, clock.nowMs());
    assertEquals(List.of(), checker.lateStarts());
    clock.runUntil(3_000);
    checker.starts("run-1", 0, ZONE_A, 900);
    checker.starts("run-1", 1, ZONE_A, 1_500);
    assertEquals(
        List.of(
            new InvariantChecker.LateStart("run-1", 0, -100, 2_000),
            new InvariantChecker.LateStart("run-1", 1, 500, 2_000)),
        checker.lateStarts());
    assertEquals(
        List.of(false, true),
        checker.lateStarts().stream()
            .map(InvariantChecker.LateStart::isCommandSentAfterConfirmation)
            .toList());
    assertEquals(List.of(), checker.violations(), "both may still be stopped in time");
  }

  @Test
  void cancelledTaskResumedAfterAHangIsReportedAsRanCancelled() {
    submitAccepted(spec("run-1", 1, false, false));
    checker.starts("run-1", 0, ZONE_A);
    checker.recordCancellationRequest("run-1");
    checker.recordAnswer("run-1", 200, "aborted", false, clock.nowMs());
    clock.runUntil(6_000);
    checker.recordStop("run-1", 0, ZONE_A);
    clock.runUntil(20_001);
    checker.checkOverdue();
    assertEquals(
        List.of(), checker.violations(), "its task left the machine with the worker lease");
    checker.recordResume("run-1", 0, ZONE_A);
    assertOnlyViolation(InvariantChecker.Rule.RAN_CANCELLED);
  }

  @Test
  void taskResumedWhileOnAnotherMachineIsReportedAsRanTwice() {
    submitAccepted(spec("run-1", 1, false, false));
    checker.starts("run-1", 0, ZONE_A);
    checker.recordStop("run-1", 0, ZONE_A);
    checker.starts("run-1", 0, ZONE_B);
    checker.recordResume("run-1", 0, ZONE_B);
    assertEquals(List.of(), checker.violations());
    checker.recordResume("run-1", 0, ZONE_A);
    assertOnlyViolation(InvariantChecker.Rule.RAN_TWICE);
  }

  @Test
  void acceptedJobThatCanNeverRunIsReportedAsWronglyAccepted() {
    checker.expectRefusal("run-1", 422, "fits no machine");
    checker.recordAnswer("run-1", 422, "", true, clock.nowMs());
    checker.recordAnswer("run-1", 503, "", true, clock.nowMs());
    checker.recordAnswer("run-1", 404, "", false, clock.nowMs());
    assertEquals(List.of(), checker.violations());
    checker.recordAnswer("run-1", 201, "queued", true, clock.nowMs());
    assertOnlyViolation(InvariantChecker.Rule.WRONGLY_ACCEPTED);
  }

  @Test
  void refusalWithAnotherStatusIsReportedAsWrongStatus() {
    checker.expectRefusal("run-1", 400, "lacks a field");
    checker.recordAnswer("run-1", 422, "", true, clock.nowMs());
    assertOnlyViolation(InvariantChecker.Rule.WRONG_STATUS);
  }

  /** Submits three jobs, of which the second depends on the first and the third on the second. */
  private void submitPipeline() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.submitted(JobSpecFixtures.withDependencies(spec("run-2", 1, false, false), "run-1"));
    checker.submitted(JobSpecFixtures.withDependencies(spec("run-3", 1, false, false), "run-2"));
    List.of("run-1", "run-2", "run-3")
        .forEach(uid -> checker.recordAnswer(uid, 201, "queued", true, clock.nowMs()));
  }

  private void runToCompletion(String uid) {
    for (int task = 0; task < 2; task++) {
      checker.starts(uid, task, ZONE_A);
      checker.recordCompletion(uid, task);
      checker.recordStop(uid, task, ZONE_A);
    }
  }

  @Test
  void pipelineRunInDependencyOrderIsNotReported() {
    submitPipeline();
    List.of("run-1", "run-2", "run-3").forEach(this::runToCompletion);
    assertEquals(List.of(), checker.violations());
  }

  @Test
  void startBeforeADependencyIsDoneIsReportedAsTooEarly() {
    submitPipeline();
    checker.starts("run-1", 0, ZONE_A);
    checker.recordCompletion("run-1", 0);
    checker.starts("run-2", 0, ZONE_A);
    assertOnlyViolation(InvariantChecker.Rule.TOO_EARLY);
  }

  /** The task also starts before its dependencies are done, which is the first violation. */
  @Test
  void taskRunningAfterItsDependencyWasCancelledIsReportedAsRanCancelled() {
    submitPipeline();
    checker.starts("run-3", 0, ZONE_A);
    checker.recordCancellationRequest("run-1");
    checker.recordAnswer("run-1", 200, "aborted", false, clock.nowMs());
    clock.runUntil(20_000);
    checker.checkOverdue();
    assertEquals(1, checker.violations().size());
    clock.runUntil(20_001);
    checker.checkOverdue();
    assertEquals(
        List.of(InvariantChecker.Rule.TOO_EARLY, InvariantChecker.Rule.RAN_CANCELLED),
        checker.violations().stream().map(InvariantChecker.Violation::rule).toList());
  }

  @Test
  void finalRefusalOfAnAcceptableSubmissionIsReportedAsWrongStatus() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.checkAcceptableSubmission("run-1", 503);
    assertEquals(List.of(), checker.violations());
    checker.checkAcceptableSubmission("run-1", 422);
    assertOnlyViolation(InvariantChecker.Rule.WRONG_STATUS);
  }

  @Test
  void indirectDependentNotAbortedInTimeIsReportedAsOrphaned() {
    submitPipeline();
    checker.recordCancellationRequest("run-1");
    checker.recordAnswer("run-1", 200, "aborted", false, clock.nowMs());
    clock.runUntil(20_000);
    checker.recordAnswer("run-3", 200, "queued", false, clock.nowMs());
    assertEquals(List.of(), checker.violations());
    clock.runUntil(20_001);
    checker.recordAnswer("run-3", 200, "queued", false, clock.nowMs());
    assertOnlyViolation(InvariantChecker.Rule.ORPHANED);
  }

  @Test
  void abortedDependencyOfACancelledJobIsReportedAsWentBack() {
    submitPipeline();
    checker.recordCancellationRequest("run-2");
    checker.recordAnswer("run-2", 200, "aborted", false, clock.nowMs());
    checker.recordAnswer("run-3", 200, "aborted", false, clock.nowMs());
    assertEquals(List.of(), checker.violations());
    checker.recordAnswer("run-1", 200, "aborted", false, clock.nowMs());
    assertOnlyViolation(InvariantChecker.Rule.WENT_BACK);
  }

  @Test
  void abortedDependentOfAJobAnsweredDoneIsReportedAsWentBack() {
    submitPipeline();
    runToCompletion("run-1");
    checker.recordCancellationRequest("run-1");
    checker.recordAnswer("run-1", 200, "done", false, clock.nowMs());
    checker.recordAnswer("run-2", 200, "aborted", false, clock.nowMs());
    assertOnlyViolation(InvariantChecker.Rule.WENT_BACK);
  }
}
