package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.sim.ReferenceProgressRecords.Kind;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore.TransactionResult;

/**
 * Ends of cancelled jobs' placements are durably known, so that a new leader does not count them,
 * and none is said to have ended before its proof. The writer alone, on the stand-in for the state
 * service.
 */
class CancelledPlacementsTest extends CancelledPlacementsScenario {
  @Test
  void endsRideOnTheNextRecordAndTakeNoTransactionOfTheirOwn() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER);
    Job job = placedAndCancelled(leader, CANCELLED, 0, 1, 5);
    leader.ended(job, 0, 1, 5);
    runFor(SHORT_MS);
    assertEquals(1, transactions);
    assertEquals(Set.of(0, 1, 5), recordedPlacements(CANCELLED));
    leader.place(other, 0);
    runFor(SHORT_MS);
    assertEquals(2, transactions);
    assertEquals(Set.of(), recordedPlacements(CANCELLED));
    runFor(3 * QUIET_MS);
    assertEquals(2, transactions, "nothing is left to say");
    leader.end();
    assertNextLeaderCounts(CANCELLED, Set.of());
  }

  @Test
  void whenNothingElseIsWrittenOneTransactionSaysAllEnds() {
    Leader leader = new Leader();
    List<Kind> kinds = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      Kind kind = new Kind("run-" + i, 6, 4);
      kinds.add(kind);
      Job job = placedAndCancelled(leader, kind, 0, 5);
      leader.ended(job, 0, 5);
      runFor(20);
    }
    int before = transactions;
    runFor(QUIET_MS);
    assertTrue(transactions - before <= 1, transactions - before + " transactions");
    kinds.forEach(k -> assertEquals(Set.of(), recordedPlacements(k), k.uid()));
  }

  @Test
  void nothingIsSaidToHaveEndedBeforeItsProof() {
    Leader leader = new Leader();
    Job job = placedAndCancelled(leader, CANCELLED, 0, 1, 5);
    runFor(QUIET_MS);
    assertEquals(Set.of(0, 1, 5), recordedPlacements(CANCELLED));
    leader.ended(job, 1);
    runFor(QUIET_MS);
    leader.end();
    assertNextLeaderCounts(CANCELLED, Set.of(0, 5));
  }

  /** Its machine took the job's last task to its end just as the job was cancelled. */
  @Test
  void anEndThatWasAboutToBeWrittenIsCleared() {
    Leader leader = new Leader();
    Job job = leader.accept(CANCELLED);
    leader.place(job, 0, 1);
    runFor(SHORT_MS);
    nextFate = Fate.LOST;
    job.markCompleted(1);
    leader.ended(job, 1);
    runFor(100);
    leader.cancel(job);
    leader.ended(job, 0);
    runFor(QUIET_MS);
    assertEquals(Set.of(), recordedPlacements(CANCELLED));
  }

  @Test
  void aLeaderEndsBetweenTheProofAndTheWrite() {
    Leader first = new Leader();
    Job job = placedAndCancelled(first, CANCELLED, 0, 1, 5);
    first.ended(job, 0, 1, 5);
    runFor(100);
    first.end();
    Leader second = new Leader();
    Job again = second.takeOver(CANCELLED, true);
    assertEquals(
        3, again.activePlacements().size(), "what nothing durable says is not taken for granted");
    second.ended(again, 0, 1, 5);
    runFor(QUIET_MS);
    second.end();
    assertNextLeaderCounts(CANCELLED, Set.of());
  }

  @ParameterizedTest
  @ValueSource(strings = {"ANSWER_LOST", "LATE", "LOST"})
  void theWriteIsLateOrItsAnswerLost(String fate) {
    Leader leader = new Leader();
    Job job = placedAndCancelled(leader, CANCELLED, 0, 1, 5);
    leader.ended(job, 0, 1, 5);
    nextFate = Fate.valueOf(fate);
    runFor(3 * QUIET_MS);
    assertTrue(!leader.deposed);
    leader.end();
    assertNextLeaderCounts(CANCELLED, Set.of());
  }

  /** The placements' own record comes late, after they are gone and said to be. */
  @Test
  void theRecordOfThePlacementsComesLate() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER);
    Job job = leader.accept(CANCELLED);
    nextFate = Fate.LATE;
    lateMs = 2_000;
    leader.place(job, 0, 1, 5);
    runFor(100);
    leader.cancel(job);
    leader.ended(job, 0, 1, 5);
    // Soon after it is known that nobody knows of the first one.
    runFor(900);
    leader.place(other, 0);
    runFor(5_000);
    assertEquals(1, lateResults.size());
    runFor(2 * QUIET_MS);
    leader.end();
    assertNextLeaderCounts(CANCELLED, Set.of());
  }

  @Test
  void aLateWriteOfADeposedLeaderSaysNothing() {
    Leader first = new Leader();
    Job job = placedAndCancelled(first, CANCELLED, 0, 1);
    first.ended(job, 0, 1);
    nextFate = Fate.LATE;
    lateMs = 4_000;
    runFor(5_100);
    first.end();
    Leader second = new Leader();
    runFor(6_000);
    assertEquals(1, lateResults.size());
    assertTrue(lateResults.get(0) instanceof TransactionResult.Conflict, lateResults.toString());
    second.end();
    assertNextLeaderCounts(CANCELLED, Set.of(0, 1));
  }

  /** Ends so many tasks of the other job, each in a record of its own. */
  private void records(Leader leader, Job other, int count) {
    for (int i = 0; i < count; i++) {
      int task = other.pendingTasks().next(0);
      leader.place(other, task);
      runFor(30);
      other.markCompleted(task);
      leader.ended(other, task);
      runFor(30);
    }
  }

  @Test
  void aCheckpointIsRemovedOnlyWithTheRecordThatSaysWhatItHid() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER);
    Job job = leader.accept(CANCELLED);
    leader.place(job, 0, 1, 5);
    runFor(SHORT_MS);
    // Its slot's turn is near: the placements are in checkpoints, and older records still stand.
    records(leader, other, 110);
    assertTrue(hasSnapshot(CANCELLED));
    assertEquals(Set.of(0, 1, 5), recordedPlacements(CANCELLED));
    leader.cancel(job);
    leader.ended(job, 0, 1, 5);
    for (int i = 0; i < 300; i++) {
      runFor(10);
      if (!hasSnapshot(CANCELLED)) {
        assertEquals(Set.of(), recordedPlacements(CANCELLED));
      }
    }
    assertTrue(!hasSnapshot(CANCELLED));
    leader.end();
    assertNextLeaderCounts(CANCELLED, Set.of());
  }

  /** A burst leaves no room for the ends in its transaction, while there are changes left in it. */
  @Test
  void aCheckpointStaysUntilThereIsRoomToSayWhatItHides() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER);
    Map<Kind, Job> jobs = new LinkedHashMap<>();
    for (int i = 0; i < 12; i++) {
      Kind kind = new Kind("run-cancelled-" + i, 6, 6);
      jobs.put(kind, leader.accept(kind));
      leader.place(jobs.get(kind), 0, 2, 5);
    }
    runFor(SHORT_MS);
    records(leader, other, 110);
    jobs.keySet().forEach(k -> assertTrue(hasSnapshot(k)));
    Job burst = leader.accept(new Kind("run-burst", 6_000, 160));
    leader.place(burst, IntStream.range(0, 6_000).toArray());
    jobs.values().forEach(leader::cancel);
    jobs.values().forEach(job -> leader.ended(job, 0, 2, 5));
    for (int i = 0; i < 300; i++) {
      runFor(10);
      for (Kind kind : jobs.keySet()) {
        assertTrue(hasSnapshot(kind) || recordedPlacements(kind).isEmpty(), kind.uid());
      }
    }
    jobs.keySet().forEach(k -> assertTrue(!hasSnapshot(k)));
  }

  private boolean hasSnapshot(Kind kind) {
    return LowerLimitsTest.all(state).keySet().stream()
        .anyMatch(k -> k.startsWith(Keys.snapshotsOf(kind.uid())));
  }

  @Test
  void theLogForgetsThemOnceNothingOlderStands() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER);
    Job job = placedAndCancelled(leader, CANCELLED, 0, 1, 5);
    leader.ended(job, 0, 1, 5);
    records(leader, other, 260);
    assertEquals(Set.of(), recordedPlacements(CANCELLED));
    boolean mentioned =
        LowerLimitsTest.all(state).values().stream()
            .anyMatch(e -> e.value().toString().contains(CANCELLED.uid()));
    assertTrue(!mentioned, "a record speaks of it");
  }

  /**
   * Terms with answers lost and writes late: at the end of each, all that was proven gone of
   * cancelled jobs is read as gone, all that was not is read as there, and both stays so for the
   * next ones while the log goes round.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void whatIsReadIsWhatWasProven(long seed) {
    random.setSeed(seed);
    Map<Kind, Boolean> cancelled = new LinkedHashMap<>();
    int named = 0;
    for (int term = 0; term < 6; term++) {
      faults = 0;
      Leader leader = new Leader();
      Map<Kind, Job> leads = new LinkedHashMap<>();
      cancelled.forEach((k, c) -> leads.put(k, leader.takeOver(k, c)));
      faults = random.nextInt(3) * 0.12;
      for (int i = 0; i < 600; i++) {
        if (leads.size() < 12 || random.nextInt(25) == 0) {
          Kind kind = new Kind("run-" + ++named, 1 + random.nextInt(60), 20);
          cancelled.put(kind, false);
          leads.put(kind, leader.accept(kind));
        }
        List<Kind> kinds = List.copyOf(leads.keySet());
        Kind kind = kinds.get(random.nextInt(kinds.size()));
        step(leader, leads.get(kind), kind, cancelled);
        runFor(20);
      }
      faults = 0;
      runFor(2 * QUIET_MS);
      assertEquals(0, leader.writer.backlog(), "still to be written");
      for (Map.Entry<Kind, Job> e : leads.entrySet()) {
        Set<Integer> live = new TreeSet<>();
        e.getValue().activePlacements().forEach(p -> live.add(p.task()));
        assertEquals(live, recordedPlacements(e.getKey()), e.getKey() + " after term " + term);
      }
      assertTrue(!leader.deposed);
      leader.end();
    }
    assertTrue(cancelled.containsValue(true));
  }

  private void step(Leader leader, Job job, Kind kind, Map<Kind, Boolean> cancelled) {
    int what = random.nextInt(100);
    if (what < 4 && !job.cancelled() && !job.activePlacements().isEmpty()) {
      cancelled.put(kind, true);
      leader.cancel(job);
    } else if (what < 55 && !job.pendingTasks().isEmpty()) {
      leader.place(job, job.pendingTasks().next(0));
    } else if (!job.activePlacements().isEmpty()) {
      Placement placement = job.activePlacements().iterator().next();
      // One task stays, so that the job is not done: its end is another matter.
      if (!job.cancelled() && job.completedTasks().size() + 1 < kind.tasks()) {
        job.markCompleted(placement.task());
      }
      leader.ended(job, placement.task());
    }
  }
}
