package org.ploverspindle.progress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.model.Priority;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressLogRecord;

/** Where each task's newest statement rests, and what stands in the slots. */
class ProgressLogSlotsTest {
  private final ProgressLogSlots slots = new ProgressLogSlots();
  private final Job job =
      new Job(
          JobSpecFixtures.batch("run-1", "c", "t", Priority.NORMAL, 20, 1, 0, 10, 0),
          0,
          10,
          0,
          new BitSet(),
          -1,
          1);
  private final TaskShard chunk = new TaskShard(job, 0);

  private static BitSet tasks(int... tasks) {
    BitSet set = new BitSet();
    for (int t : tasks) {
      set.set(t);
    }
    return set;
  }

  @Test
  void statementsMoveOnToNewerRecords() {
    slots.spoken(chunk, tasks(1, 2, 3), 5);
    slots.spoken(chunk, tasks(2), 9);
    assertEquals(Map.of(chunk, tasks(1, 3)), slots.restingOn(5));
    assertEquals(Map.of(chunk, tasks(2)), slots.restingOn(9));
    slots.spoken(chunk, tasks(1, 3), 9);
    assertEquals(Set.of(9L), slots.restingUpTo(100).keySet());
  }

  /** An unanswered write is found late: what newer records say stays what counts. */
  @Test
  void anOlderRecordThatIsFoundLateTakesOnlyWhatNoNewerOneSays() {
    slots.spoken(chunk, tasks(1, 2), 9);
    slots.spoken(chunk, tasks(2, 3), 7);
    assertEquals(Map.of(chunk, tasks(3)), slots.restingOn(7));
    assertEquals(Map.of(chunk, tasks(1, 2)), slots.restingOn(9));
  }

  @Test
  void aCheckpointCoversRecordsUpToItsOwn() {
    slots.spoken(chunk, tasks(1), 5);
    slots.spoken(chunk, tasks(2), 6);
    slots.covered(chunk, 5);
    assertEquals(Map.of(), slots.restingOn(5));
    assertEquals(Optional.of(job), slots.job("run-1"));
    slots.covered(chunk, 6);
    assertEquals(Optional.empty(), slots.job("run-1"));
  }

  /** Nothing that still counts may be lost with the record that stood in the slot. */
  @Test
  void aReplacedRecordTakesOnlyTheStatementsOfJobsThatAreGone() {
    long later = 5 + ProgressLogRecord.SLOTS;
    slots.stands(5, 70);
    slots.mention("run-1", 5);
    slots.spoken(chunk, tasks(1), 5);
    slots.replaced(later);
    assertEquals(Map.of(chunk, tasks(1)), slots.restingOn(5));
    assertFalse(slots.isMentioned("run-1"));
    job.cancel();
    slots.replaced(later);
    assertEquals(Map.of(), slots.restingOn(5));
  }

  @Test
  void onlyOlderRecordsContradictAStatement() {
    slots.mention("run-1", 5);
    assertFalse(slots.isMentionedBefore("run-1", 5));
    assertTrue(slots.isMentionedBefore("run-1", 6));
  }

  @Test
  void slotsKeepTheirVersionAndDamage() {
    slots.stands(3, 41);
    slots.markDamaged(Keys.progressLog(4));
    long later = 3 + ProgressLogRecord.SLOTS;
    assertEquals(41, slots.stampAt(later));
    assertEquals(3, slots.standingAt(later));
    assertTrue(slots.isDamaged(4 + ProgressLogRecord.SLOTS));
    assertFalse(slots.isDamaged(3));
  }
}
