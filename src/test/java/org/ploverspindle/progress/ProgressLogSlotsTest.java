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

/**
 * Guards against the loss of a task's latest status. A slot of the progress log may be reused only
 * if no latest status is lost with its record, so the writer must know which record holds the
 * latest status of each task, also when a record is stored late.
 */
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
  private final TaskShard shard = new TaskShard(job, 0);

  private static BitSet tasks(int... tasks) {
    BitSet set = new BitSet();
    for (int task : tasks) {
      set.set(task);
    }
    return set;
  }

  @Test
  void newerRecordTakesOverLatestStatus() {
    slots.statusRecorded(shard, tasks(1, 2, 3), 5);
    slots.statusRecorded(shard, tasks(2), 9);
    assertEquals(Map.of(shard, tasks(1, 3)), slots.latestStatusIn(5));
    assertEquals(Map.of(shard, tasks(2)), slots.latestStatusIn(9));
    slots.statusRecorded(shard, tasks(1, 3), 9);
    assertEquals(Set.of(9L), slots.latestStatusUpTo(100).keySet());
  }

  /**
   * A write that was not answered can be found after newer ones, whose statuses stay the latest.
   */
  @Test
  void lateOlderRecordKeepsOnlyStatusesMissingFromNewerRecords() {
    slots.statusRecorded(shard, tasks(1, 2), 9);
    slots.statusRecorded(shard, tasks(2, 3), 7);
    assertEquals(Map.of(shard, tasks(3)), slots.latestStatusIn(7));
    assertEquals(Map.of(shard, tasks(1, 2)), slots.latestStatusIn(9));
  }

  @Test
  void releaseUpToASequenceKeepsLaterRecords() {
    slots.statusRecorded(shard, tasks(1), 5);
    slots.statusRecorded(shard, tasks(2), 6);
    slots.releaseUpTo(shard, 5);
    assertEquals(Map.of(), slots.latestStatusIn(5));
    assertEquals(Optional.of(job), slots.findJob("run-1"));
    slots.releaseUpTo(shard, 6);
    assertEquals(Optional.empty(), slots.findJob("run-1"));
  }

  /** A status that is still needed must not be lost with the record that is overwritten. */
  @Test
  void overwrittenRecordReleasesOnlyFullyStoppedJobs() {
    long later = 5 + ProgressLogRecord.SLOTS;
    slots.markStored(5, 70);
    slots.addMention("run-1", 5);
    slots.statusRecorded(shard, tasks(1), 5);
    slots.slotOverwritten(later);
    assertEquals(Map.of(shard, tasks(1)), slots.latestStatusIn(5));
    assertFalse(slots.isMentioned("run-1"));
    job.markCancelled();
    slots.slotOverwritten(later);
    assertEquals(Map.of(), slots.latestStatusIn(5));
  }

  @Test
  void jobIsMentionedBeforeOnlyByOlderRecords() {
    slots.addMention("run-1", 5);
    assertFalse(slots.isMentionedBefore("run-1", 5));
    assertTrue(slots.isMentionedBefore("run-1", 6));
  }

  @Test
  void sequenceNumbersOfTheSameSlotShareItsState() {
    slots.markStored(3, 41);
    slots.markUnreadable(Keys.progressLog(4));
    long later = 3 + ProgressLogRecord.SLOTS;
    assertEquals(41, slots.slotModRevision(later));
    assertEquals(3, slots.slotSequence(later));
    assertTrue(slots.isUnreadable(4 + ProgressLogRecord.SLOTS));
    assertFalse(slots.isUnreadable(3));
  }
}
