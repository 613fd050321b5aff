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
    slots.statusRecorded(chunk, tasks(1, 2, 3), 5);
    slots.statusRecorded(chunk, tasks(2), 9);
    assertEquals(Map.of(chunk, tasks(1, 3)), slots.latestStatusIn(5));
    assertEquals(Map.of(chunk, tasks(2)), slots.latestStatusIn(9));
    slots.statusRecorded(chunk, tasks(1, 3), 9);
    assertEquals(Set.of(9L), slots.latestStatusUpTo(100).keySet());
  }

  /** An unanswered write is found late: what newer records say stays what counts. */
  @Test
  void anOlderRecordThatIsFoundLateTakesOnlyWhatNoNewerOneSays() {
    slots.statusRecorded(chunk, tasks(1, 2), 9);
    slots.statusRecorded(chunk, tasks(2, 3), 7);
    assertEquals(Map.of(chunk, tasks(3)), slots.latestStatusIn(7));
    assertEquals(Map.of(chunk, tasks(1, 2)), slots.latestStatusIn(9));
  }

  @Test
  void aCheckpointCoversRecordsUpToItsOwn() {
    slots.statusRecorded(chunk, tasks(1), 5);
    slots.statusRecorded(chunk, tasks(2), 6);
    slots.releaseUpTo(chunk, 5);
    assertEquals(Map.of(), slots.latestStatusIn(5));
    assertEquals(Optional.of(job), slots.findJob("run-1"));
    slots.releaseUpTo(chunk, 6);
    assertEquals(Optional.empty(), slots.findJob("run-1"));
  }

  /** Nothing that still counts may be lost with the record that stood in the slot. */
  @Test
  void aReplacedRecordTakesOnlyTheStatementsOfJobsThatAreGone() {
    long later = 5 + ProgressLogRecord.SLOTS;
    slots.recordStored(5, 70);
    slots.addMention("run-1", 5);
    slots.statusRecorded(chunk, tasks(1), 5);
    slots.slotOverwritten(later);
    assertEquals(Map.of(chunk, tasks(1)), slots.latestStatusIn(5));
    assertFalse(slots.isMentioned("run-1"));
    job.cancel();
    slots.slotOverwritten(later);
    assertEquals(Map.of(), slots.latestStatusIn(5));
  }

  @Test
  void onlyOlderRecordsContradictAStatement() {
    slots.addMention("run-1", 5);
    assertFalse(slots.isMentionedBefore("run-1", 5));
    assertTrue(slots.isMentionedBefore("run-1", 6));
  }

  @Test
  void slotsKeepTheirVersionAndDamage() {
    slots.recordStored(3, 41);
    slots.markUnreadable(Keys.progressLog(4));
    long later = 3 + ProgressLogRecord.SLOTS;
    assertEquals(41, slots.modRevisionAt(later));
    assertEquals(3, slots.storedSequenceAt(later));
    assertTrue(slots.isUnreadable(4 + ProgressLogRecord.SLOTS));
    assertFalse(slots.isUnreadable(3));
  }
}
