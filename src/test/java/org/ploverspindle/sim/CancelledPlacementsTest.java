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
import org.ploverspindle.sim.ReferenceProgressRecords.StoredJob;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore.TransactionResult;

/**
 * Guards against a new leader counting placements of cancelled jobs whose ends an earlier leader
 * had proven, and against an end being recorded before it is proven. The progress writer is tested
 * alone, on the simulated state service.
 */
class CancelledPlacementsTest extends CancelledPlacementsScenario {
  @Test
  void endsOfCancelledPlacementsAreWrittenWithTheNextRecord() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER_JOB);
    Job job = placeAndCancel(leader, CANCELLED_JOB, 0, 1, 5);
    leader.endPlacements(job, 0, 1, 5);
    runFor(SHORTER_THAN_CLEARING_WAIT_MS);
    assertEquals(1, transactionCount);
    assertEquals(Set.of(0, 1, 5), recordedPlacements(CANCELLED_JOB));
    leader.place(other, 0);
    runFor(SHORTER_THAN_CLEARING_WAIT_MS);
    assertEquals(2, transactionCount);
    assertEquals(Set.of(), recordedPlacements(CANCELLED_JOB));
    runFor(3 * LONGER_THAN_CLEARING_WAIT_MS);
    assertEquals(2, transactionCount, "nothing is left to be written");
    leader.stop();
    assertNextLeaderFindsPlaced(CANCELLED_JOB, Set.of());
  }

  @Test
  void endsOfCancelledPlacementsShareOneTransactionWhenNothingElseIsWritten() {
    Leader leader = new Leader();
    List<StoredJob> storedJobs = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      StoredJob stored = new StoredJob("run-" + i, 6, 4);
      storedJobs.add(stored);
      Job job = placeAndCancel(leader, stored, 0, 5);
      leader.endPlacements(job, 0, 5);
      runFor(20);
    }
    int before = transactionCount;
    runFor(LONGER_THAN_CLEARING_WAIT_MS);
    assertTrue(transactionCount - before <= 1, transactionCount - before + " transactions");
    storedJobs.forEach(k -> assertEquals(Set.of(), recordedPlacements(k), k.uid()));
  }

  @Test
  void cancelledPlacementStaysRecordedUntilItsEndIsProven() {
    Leader leader = new Leader();
    Job job = placeAndCancel(leader, CANCELLED_JOB, 0, 1, 5);
    runFor(LONGER_THAN_CLEARING_WAIT_MS);
    assertEquals(Set.of(0, 1, 5), recordedPlacements(CANCELLED_JOB));
    leader.endPlacements(job, 1);
    runFor(LONGER_THAN_CLEARING_WAIT_MS);
    leader.stop();
    assertNextLeaderFindsPlaced(CANCELLED_JOB, Set.of(0, 5));
  }

  /**
   * A task completes and the write of its completion is lost. The job is cancelled before that is
   * written again.
   */
  @Test
  void unwrittenCompletionIsClearedOnceTheJobIsCancelled() {
    Leader leader = new Leader();
    Job job = leader.accept(CANCELLED_JOB);
    leader.place(job, 0, 1);
    runFor(SHORTER_THAN_CLEARING_WAIT_MS);
    nextOutcome = Outcome.LOST;
    job.markCompleted(1);
    leader.endPlacements(job, 1);
    runFor(100);
    leader.cancel(job);
    leader.endPlacements(job, 0);
    runFor(LONGER_THAN_CLEARING_WAIT_MS);
    assertEquals(Set.of(), recordedPlacements(CANCELLED_JOB));
  }

  @Test
  void endsProvenButNotWrittenAreProvenAgainByTheNextLeader() {
    Leader first = new Leader();
    Job job = placeAndCancel(first, CANCELLED_JOB, 0, 1, 5);
    first.endPlacements(job, 0, 1, 5);
    runFor(100);
    first.stop();
    Leader second = new Leader();
    Job again = second.takeOver(CANCELLED_JOB, true);
    assertEquals(
        3,
        again.activePlacements().size(),
        "a placement is presumed running until its end is durable");
    second.endPlacements(again, 0, 1, 5);
    runFor(LONGER_THAN_CLEARING_WAIT_MS);
    second.stop();
    assertNextLeaderFindsPlaced(CANCELLED_JOB, Set.of());
  }

  @ParameterizedTest
  @ValueSource(strings = {"ANSWER_LOST", "LATE", "LOST"})
  void endsAreRecordedWhenTheWriteIsLateLostOrUnanswered(String outcome) {
    Leader leader = new Leader();
    Job job = placeAndCancel(leader, CANCELLED_JOB, 0, 1, 5);
    leader.endPlacements(job, 0, 1, 5);
    nextOutcome = Outcome.valueOf(outcome);
    runFor(3 * LONGER_THAN_CLEARING_WAIT_MS);
    assertTrue(!leader.deposed);
    leader.stop();
    assertNextLeaderFindsPlaced(CANCELLED_JOB, Set.of());
  }

  /**
   * The record of the placements is stored only after they have ended and their job is cancelled.
   */
  @Test
  void lateRecordOfEndedPlacementsIsCleared() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER_JOB);
    Job job = leader.accept(CANCELLED_JOB);
    nextOutcome = Outcome.LATE;
    executionDelayMs = 2_000;
    leader.place(job, 0, 1, 5);
    runFor(100);
    leader.cancel(job);
    leader.endPlacements(job, 0, 1, 5);
    // By now the writer knows that the record of the placements, which is late, is not yet stored.
    runFor(900);
    leader.place(other, 0);
    runFor(5_000);
    assertEquals(1, lateResults.size());
    runFor(2 * LONGER_THAN_CLEARING_WAIT_MS);
    leader.stop();
    assertNextLeaderFindsPlaced(CANCELLED_JOB, Set.of());
  }

  @Test
  void lateWriteOfADeposedLeaderIsRejected() {
    Leader first = new Leader();
    Job job = placeAndCancel(first, CANCELLED_JOB, 0, 1);
    first.endPlacements(job, 0, 1);
    nextOutcome = Outcome.LATE;
    executionDelayMs = 4_000;
    runFor(5_100);
    first.stop();
    Leader second = new Leader();
    runFor(6_000);
    assertEquals(1, lateResults.size());
    assertTrue(lateResults.get(0) instanceof TransactionResult.Conflict, lateResults.toString());
    second.stop();
    assertNextLeaderFindsPlaced(CANCELLED_JOB, Set.of(0, 1));
  }

  /**
   * Places and completes this many tasks of the other job, one after the other, so that each
   * completion is written in a log record of its own.
   */
  private void writeRecords(Leader leader, Job other, int count) {
    for (int i = 0; i < count; i++) {
      int task = other.pendingTasks().next(0);
      leader.place(other, task);
      runFor(30);
      other.markCompleted(task);
      leader.endPlacements(other, task);
      runFor(30);
    }
  }

  @Test
  void snapshotIsRemovedOnlyOnceTheLogHoldsTheEnds() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER_JOB);
    Job job = leader.accept(CANCELLED_JOB);
    leader.place(job, 0, 1, 5);
    runFor(SHORTER_THAN_CLEARING_WAIT_MS);
    // The slot of the placements' record is reused soon. Therefore snapshots hold the placements
    // already, while log records older than the snapshots still exist.
    writeRecords(leader, other, 110);
    assertTrue(hasSnapshot(CANCELLED_JOB));
    assertEquals(Set.of(0, 1, 5), recordedPlacements(CANCELLED_JOB));
    leader.cancel(job);
    leader.endPlacements(job, 0, 1, 5);
    for (int i = 0; i < 300; i++) {
      runFor(10);
      if (!hasSnapshot(CANCELLED_JOB)) {
        assertEquals(Set.of(), recordedPlacements(CANCELLED_JOB));
      }
    }
    assertTrue(!hasSnapshot(CANCELLED_JOB));
    leader.stop();
    assertNextLeaderFindsPlaced(CANCELLED_JOB, Set.of());
  }

  /**
   * A burst of 6,000 placements leaves no room for the ends in the log records of its transaction,
   * though the transaction could take more changes, such as the removal of snapshots.
   */
  @Test
  void snapshotStaysUntilTheLogRecordHasRoomForTheEnds() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER_JOB);
    Map<StoredJob, Job> jobs = new LinkedHashMap<>();
    for (int i = 0; i < 12; i++) {
      StoredJob stored = new StoredJob("run-cancelled-" + i, 6, 6);
      jobs.put(stored, leader.accept(stored));
      leader.place(jobs.get(stored), 0, 2, 5);
    }
    runFor(SHORTER_THAN_CLEARING_WAIT_MS);
    writeRecords(leader, other, 110);
    jobs.keySet().forEach(k -> assertTrue(hasSnapshot(k)));
    Job burst = leader.accept(new StoredJob("run-burst", 6_000, 160));
    leader.place(burst, IntStream.range(0, 6_000).toArray());
    jobs.values().forEach(leader::cancel);
    jobs.values().forEach(job -> leader.endPlacements(job, 0, 2, 5));
    for (int i = 0; i < 300; i++) {
      runFor(10);
      for (StoredJob stored : jobs.keySet()) {
        assertTrue(hasSnapshot(stored) || recordedPlacements(stored).isEmpty(), stored.uid());
      }
    }
    jobs.keySet().forEach(k -> assertTrue(!hasSnapshot(k)));
  }

  private boolean hasSnapshot(StoredJob stored) {
    return LowerLimitsTest.allEntries(state).keySet().stream()
        .anyMatch(k -> k.startsWith(Keys.snapshotsOf(stored.uid())));
  }

  @Test
  void logNoLongerNamesACancelledJobOnceItsPlacementsAreOverwritten() {
    Leader leader = new Leader();
    Job other = leader.accept(OTHER_JOB);
    Job job = placeAndCancel(leader, CANCELLED_JOB, 0, 1, 5);
    leader.endPlacements(job, 0, 1, 5);
    writeRecords(leader, other, 260);
    assertEquals(Set.of(), recordedPlacements(CANCELLED_JOB));
    boolean mentioned =
        LowerLimitsTest.allEntries(state).values().stream()
            .anyMatch(e -> e.value().toString().contains(CANCELLED_JOB.uid()));
    assertTrue(!mentioned, "a record still names the cancelled job");
  }

  /**
   * Six terms in which transactions are lost, late or not answered. At the end of each term exactly
   * the placements that were not proven ended are read as placed, also of jobs that were cancelled
   * in earlier terms, while all slots of the log are overwritten.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void readPlacementsAreThoseNotProvenEnded(long seed) {
    random.setSeed(seed);
    Map<StoredJob, Boolean> cancelled = new LinkedHashMap<>();
    int jobCount = 0;
    for (int term = 0; term < 6; term++) {
      faultProbability = 0;
      Leader leader = new Leader();
      Map<StoredJob, Job> ledJobs = new LinkedHashMap<>();
      cancelled.forEach(
          (stored, isCancelled) -> ledJobs.put(stored, leader.takeOver(stored, isCancelled)));
      faultProbability = random.nextInt(3) * 0.12;
      for (int i = 0; i < 600; i++) {
        if (ledJobs.size() < 12 || random.nextInt(25) == 0) {
          StoredJob stored = new StoredJob("run-" + ++jobCount, 1 + random.nextInt(60), 20);
          cancelled.put(stored, false);
          ledJobs.put(stored, leader.accept(stored));
        }
        List<StoredJob> storedJobs = List.copyOf(ledJobs.keySet());
        StoredJob stored = storedJobs.get(random.nextInt(storedJobs.size()));
        step(leader, ledJobs.get(stored), stored, cancelled);
        runFor(20);
      }
      faultProbability = 0;
      runFor(2 * LONGER_THAN_CLEARING_WAIT_MS);
      assertEquals(0, leader.writer.backlogSize(), "backlog of progress after 16 s without faults");
      for (Map.Entry<StoredJob, Job> e : ledJobs.entrySet()) {
        Set<Integer> placed = new TreeSet<>();
        e.getValue().activePlacements().forEach(p -> placed.add(p.task()));
        assertEquals(placed, recordedPlacements(e.getKey()), e.getKey() + " after term " + term);
      }
      assertTrue(!leader.deposed);
      leader.stop();
    }
    assertTrue(cancelled.containsValue(true));
  }

  private void step(Leader leader, Job job, StoredJob stored, Map<StoredJob, Boolean> cancelled) {
    int action = random.nextInt(100);
    if (action < 4 && !job.cancelled() && !job.activePlacements().isEmpty()) {
      cancelled.put(stored, true);
      leader.cancel(job);
    } else if (action < 55 && !job.pendingTasks().isEmpty()) {
      leader.place(job, job.pendingTasks().next(0));
    } else if (!job.activePlacements().isEmpty()) {
      Placement placement = job.activePlacements().iterator().next();
      // One task is never completed, so that no job completes: this test is not about completions.
      if (!job.cancelled() && job.completedTasks().size() + 1 < stored.tasks()) {
        job.markCompleted(placement.task());
      }
      leader.endPlacements(job, placement.task());
    }
  }
}
