package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ploverspindle.JobSpecBuilder;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.Resources;

/** The checker must report each rule when it is broken, and nothing when none is. */
class InvariantCheckerTest {
  private static final InvariantChecker.Place A =
      new InvariantChecker.Place("i-1", "small", "a", false);
  private static final InvariantChecker.Place B =
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

  private void only(InvariantChecker.Rule rule) {
    assertEquals(
        List.of(rule), checker.broken().stream().map(InvariantChecker.Broken::rule).toList());
  }

  @Test
  void reportsNothingOnAnOrderlyJob() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.told("run-1", 201, "queued", true, clock.nowMs());
    for (int task = 0; task < 2; task++) {
      checker.starts("run-1", task, A);
      checker.completes("run-1", task);
      checker.leaves("run-1", task, A);
    }
    checker.told("run-1", 200, "done", false, clock.nowMs());
    assertEquals(List.of(), checker.broken());
  }

  @Test
  void reportsATaskThatRunsTwice() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.starts("run-1", 0, A);
    checker.starts("run-1", 0, B);
    only(InvariantChecker.Rule.RAN_TWICE);
  }

  @Test
  void reportsAnExceededLimit() {
    checker.submitted(spec("run-1", 20, false, false));
    checker.starts("run-1", 0, A);
    checker.starts("run-1", 1, A);
    only(InvariantChecker.Rule.QUOTA);
  }

  @Test
  void reportsWrongPlaces() {
    checker.submitted(spec("run-1", 1, true, false));
    checker.starts("run-1", 0, A);
    checker.starts("run-1", 1, B);
    only(InvariantChecker.Rule.WRONG_PLACE);
  }

  @Test
  void reportsTasksThatAreNotApart() {
    checker.submitted(spec("run-1", 1, false, true));
    checker.starts("run-1", 0, A);
    checker.starts("run-1", 1, A);
    only(InvariantChecker.Rule.WRONG_PLACE);
  }

  @Test
  void reportsSpotWhereItIsNotAllowed() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.starts("run-1", 0, new InvariantChecker.Place("i-3", "small", "a", true));
    only(InvariantChecker.Rule.WRONG_PLACE);
  }

  @Test
  void reportsACancelledJobThatRunsOn() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.starts("run-1", 0, A);
    checker.cancelAsked("run-1");
    checker.told("run-1", 200, "aborted", false, clock.nowMs());
    clock.runUntil(20_001);
    checker.look();
    only(InvariantChecker.Rule.RAN_CANCELLED);
  }

  @Test
  void reportsAForgottenJob() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.told("run-1", 201, "queued", true, clock.nowMs());
    clock.runUntil(5);
    checker.told("run-1", 404, "", false, clock.nowMs());
    only(InvariantChecker.Rule.FORGOTTEN);
  }

  @Test
  void reportsAnInventedJob() {
    checker.told("run-9", 200, "queued", false, clock.nowMs());
    only(InvariantChecker.Rule.INVENTED);
  }

  @Test
  void reportsDoneTooEarly() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.completes("run-1", 0);
    checker.told("run-1", 200, "done", false, clock.nowMs());
    only(InvariantChecker.Rule.NOT_DONE);
  }

  @Test
  void reportsAnOlderAnswer() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.cancelAsked("run-1");
    checker.told("run-1", 200, "aborted", false, clock.nowMs());
    checker.told("run-1", 200, "running", false, clock.nowMs());
    only(InvariantChecker.Rule.WENT_BACK);
  }

  @Test
  void reportsACancellationNobodyAskedFor() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.told("run-1", 200, "aborted", false, clock.nowMs());
    only(InvariantChecker.Rule.WENT_BACK);
  }

  @Test
  void reportsAJobOfWhichNoQuestionIsAnswered() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.told("run-1", 201, "queued", true, clock.nowMs());
    clock.runUntil(10_000);
    checker.troublesAreOver();
    checker.asked("run-1");
    clock.runUntil(84_000);
    checker.look();
    assertEquals(List.of(), checker.broken());
    clock.runUntil(86_000);
    checker.look();
    only(InvariantChecker.Rule.UNANSWERED);
  }

  @Test
  void anAnswerEndsTheTimeWithoutOne() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.told("run-1", 201, "queued", true, clock.nowMs());
    checker.troublesAreOver();
    for (int t = 1; t <= 4; t++) {
      checker.asked("run-1");
      clock.runUntil(60_000 * t);
      checker.told("run-1", 200, "queued", false, clock.nowMs());
      checker.look();
    }
    assertEquals(List.of(), checker.broken());
  }

  @Test
  void reportsAClassOfWhichTooLittleIsServed() {
    for (String uid : List.of("run-1", "run-2", "run-3")) {
      checker.submitted(spec(uid, 1, false, false));
      checker.told(uid, 201, "queued", true, clock.nowMs());
      checker.starts(uid, 0, A);
      checker.leaves(uid, 0, A);
    }
    checker.completes("run-1", 0);
    checker.completes("run-1", 1);
    checker.endOfDay();
    assertEquals(
        List.of(
            InvariantChecker.Rule.STARVED,
            InvariantChecker.Rule.STARVED,
            InvariantChecker.Rule.STARVED),
        checker.broken().stream().map(InvariantChecker.Broken::rule).toList(),
        "its class, its team, and its largest");
  }

  @Test
  void reportsALargestJobThatBeginsTooLate() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.told("run-1", 201, "queued", true, clock.nowMs());
    clock.runUntil(240_001);
    for (int task = 0; task < 2; task++) {
      checker.starts("run-1", task, A);
      checker.completes("run-1", task);
    }
    checker.endOfDay();
    only(InvariantChecker.Rule.STARVED);
  }

  private void accepted(JobSpec spec) {
    checker.submitted(spec);
    checker.told(spec.uid(), 201, "queued", true, clock.nowMs());
  }

  private void lookForSeconds(int seconds) {
    for (int i = 0; i < seconds; i++) {
      clock.runUntil(clock.nowMs() + 1_000);
      checker.look();
    }
  }

  private static void up(InvariantChecker checker, InvariantChecker.Place place, double cores) {
    checker.machineUp(place, Resources.offered(cores, 0, 16), () -> true);
  }

  @Test
  void reportsAJobThatWaitsBesideRoom() {
    accepted(spec("run-1", 2, false, false));
    up(checker, A, 4);
    checker.troublesAreOver();
    lookForSeconds(91);
    assertEquals(List.of(), checker.broken());
    lookForSeconds(1);
    only(InvariantChecker.Rule.IDLE_ROOM);
  }

  @Test
  void reportsTheTasksThatWaitBesideRoomWhileOthersRun() {
    accepted(spec("run-1", 2, false, false));
    up(checker, A, 4);
    checker.starts("run-1", 0, A);
    checker.troublesAreOver();
    lookForSeconds(95);
    only(InvariantChecker.Rule.IDLE_ROOM);
  }

  /** No room, a full machine, the wrong zone, a limit that is reached, or a start now and then. */
  @Test
  void jobsThatCannotBeginOrDoAreNotLeftWaiting() {
    up(checker, A, 4);
    accepted(spec("run-1", 5, false, false));
    accepted(spec("run-2", 3, true, false));
    up(checker, B, 2);
    checker.starts("run-2", 0, A);
    accepted(spec("run-3", 1, false, true));
    checker.starts("run-3", 0, B);
    checker.machineUp(
        new InvariantChecker.Place("i-4", "small", "b", false),
        Resources.offered(4, 0, 16),
        () -> false);
    checker.machineUp(
        new InvariantChecker.Place("i-5", "small", "b", true),
        Resources.offered(4, 0, 16),
        () -> true);
    checker.starts("run-3", 1, A);
    checker.troublesAreOver();
    lookForSeconds(200);
    assertEquals(List.of(), checker.broken());
  }

  @Test
  void aTeamAtItsLimitIsNotLeftWaiting() {
    InvariantChecker.Place c = new InvariantChecker.Place("i-6", "large", "a", false);
    checker.machineUp(c, Resources.offered(30, 0, 64), () -> true);
    accepted(spec("run-1", 13, false, false));
    checker.starts("run-1", 0, c);
    checker.troublesAreOver();
    lookForSeconds(200);
    assertEquals(List.of(), checker.broken());
  }

  @Test
  void startsNowAndThenAreNoWaiting() {
    accepted(spec("run-1", 1, false, false));
    up(checker, A, 4);
    checker.troublesAreOver();
    for (int i = 0; i < 4; i++) {
      lookForSeconds(60);
      checker.starts("run-1", 0, A);
      checker.leaves("run-1", 0, A);
    }
    assertEquals(List.of(), checker.broken());
  }

  @Test
  void countsStartsAfterAConfirmedCancellationByWhenTheyWereOrdered() {
    accepted(spec("run-1", 1, false, false));
    checker.cancelAsked("run-1");
    clock.runUntil(1_000);
    checker.told("run-1", 200, "aborted", false, clock.nowMs());
    assertEquals(List.of(), checker.lateStarts());
    clock.runUntil(3_000);
    checker.starts("run-1", 0, A, 900);
    checker.starts("run-1", 1, A, 1_500);
    assertEquals(
        List.of(
            new InvariantChecker.LateStart("run-1", 0, -100, 2_000),
            new InvariantChecker.LateStart("run-1", 1, 500, 2_000)),
        checker.lateStarts());
    assertEquals(
        List.of(false, true),
        checker.lateStarts().stream()
            .map(InvariantChecker.LateStart::orderedAfterTheWord)
            .toList());
    assertEquals(List.of(), checker.broken(), "both may still be gone in time");
  }

  @Test
  void reportsACancelledTaskThatGoesOnAfterItsMachineHung() {
    accepted(spec("run-1", 1, false, false));
    checker.starts("run-1", 0, A);
    checker.cancelAsked("run-1");
    checker.told("run-1", 200, "aborted", false, clock.nowMs());
    clock.runUntil(6_000);
    checker.leaves("run-1", 0, A);
    clock.runUntil(20_001);
    checker.look();
    assertEquals(List.of(), checker.broken(), "its lease is over");
    checker.goesOn("run-1", 0, A);
    only(InvariantChecker.Rule.RAN_CANCELLED);
  }

  @Test
  void reportsATaskThatGoesOnWhereItIsNoLonger() {
    accepted(spec("run-1", 1, false, false));
    checker.starts("run-1", 0, A);
    checker.leaves("run-1", 0, A);
    checker.starts("run-1", 0, B);
    checker.goesOn("run-1", 0, B);
    assertEquals(List.of(), checker.broken());
    checker.goesOn("run-1", 0, A);
    only(InvariantChecker.Rule.RAN_TWICE);
  }

  @Test
  void reportsWhatCanNeverRunAndIsAcceptedAllTheSame() {
    checker.neverAcceptable("run-1", 422, "fits no machine");
    checker.told("run-1", 422, "", true, clock.nowMs());
    checker.told("run-1", 503, "", true, clock.nowMs());
    checker.told("run-1", 404, "", false, clock.nowMs());
    assertEquals(List.of(), checker.broken());
    checker.told("run-1", 201, "queued", true, clock.nowMs());
    only(InvariantChecker.Rule.WRONGLY_ACCEPTED);
  }

  @Test
  void reportsTheWrongRefusal() {
    checker.neverAcceptable("run-1", 400, "lacks a field");
    checker.told("run-1", 422, "", true, clock.nowMs());
    only(InvariantChecker.Rule.WRONG_STATUS);
  }

  /** The second job awaits the first. */
  private void pipeline() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.submitted(JobSpecFixtures.withDependencies(spec("run-2", 1, false, false), "run-1"));
    checker.submitted(JobSpecFixtures.withDependencies(spec("run-3", 1, false, false), "run-2"));
    List.of("run-1", "run-2", "run-3")
        .forEach(u -> checker.told(u, 201, "queued", true, clock.nowMs()));
  }

  private void completes(String uid) {
    for (int task = 0; task < 2; task++) {
      checker.starts(uid, task, A);
      checker.completes(uid, task);
      checker.leaves(uid, task, A);
    }
  }

  @Test
  void reportsNothingOnAnOrderlyPipeline() {
    pipeline();
    List.of("run-1", "run-2", "run-3").forEach(this::completes);
    assertEquals(List.of(), checker.broken());
  }

  @Test
  void reportsATaskThatStartsBeforeWhatItNeedsIsDone() {
    pipeline();
    checker.starts("run-1", 0, A);
    checker.completes("run-1", 0);
    checker.starts("run-2", 0, A);
    only(InvariantChecker.Rule.TOO_EARLY);
  }

  /** Started too early as well: what is asked here is that it also counts as running on. */
  @Test
  void reportsATaskThatRunsOnAfterAJobBeforeItsJobWasCancelled() {
    pipeline();
    checker.starts("run-3", 0, A);
    checker.cancelAsked("run-1");
    checker.told("run-1", 200, "aborted", false, clock.nowMs());
    clock.runUntil(20_000);
    checker.look();
    assertEquals(1, checker.broken().size());
    clock.runUntil(20_001);
    checker.look();
    assertEquals(
        List.of(InvariantChecker.Rule.TOO_EARLY, InvariantChecker.Rule.RAN_CANCELLED),
        checker.broken().stream().map(InvariantChecker.Broken::rule).toList());
  }

  @Test
  void reportsAUsersOwnSubmissionThatIsRefusedForGood() {
    checker.submitted(spec("run-1", 1, false, false));
    checker.submissionTold("run-1", 503);
    assertEquals(List.of(), checker.broken());
    checker.submissionTold("run-1", 422);
    only(InvariantChecker.Rule.WRONG_STATUS);
  }

  @Test
  void reportsAnOrphanOfAnyDepthOnceItsTimeIsOver() {
    pipeline();
    checker.cancelAsked("run-1");
    checker.told("run-1", 200, "aborted", false, clock.nowMs());
    clock.runUntil(20_000);
    checker.told("run-3", 200, "queued", false, clock.nowMs());
    assertEquals(List.of(), checker.broken());
    clock.runUntil(20_001);
    checker.told("run-3", 200, "queued", false, clock.nowMs());
    only(InvariantChecker.Rule.ORPHANED);
  }

  @Test
  void whatNeedsACancelledJobIsAbortedAndNothingElse() {
    pipeline();
    checker.cancelAsked("run-2");
    checker.told("run-2", 200, "aborted", false, clock.nowMs());
    checker.told("run-3", 200, "aborted", false, clock.nowMs());
    assertEquals(List.of(), checker.broken());
    checker.told("run-1", 200, "aborted", false, clock.nowMs());
    only(InvariantChecker.Rule.WENT_BACK);
  }

  @Test
  void reportsAnAbortionAfterACancellationThatWasAnsweredDone() {
    pipeline();
    completes("run-1");
    checker.cancelAsked("run-1");
    checker.told("run-1", 200, "done", false, clock.nowMs());
    checker.told("run-2", 200, "aborted", false, clock.nowMs());
    only(InvariantChecker.Rule.WENT_BACK);
  }
}
