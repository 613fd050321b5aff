package org.ploverspindle.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.ProgressLogRecord.Delta;
import org.ploverspindle.state.SnapshotRecord.MachineInfo;
import org.ploverspindle.state.SnapshotRecord.RecordedPlacement;

/**
 * Guards against progress that is changed by storing it. A record must decode to the statuses that
 * were encoded, must stay within its largest size, and must be rejected if a part of it is
 * malformed.
 */
class ProgressLogRecordTest {
  private static Delta delta(Random random, String uid, int tasks) {
    BitSet completed = new BitSet();
    BitSet cleared = new BitSet();
    List<RecordedPlacement> placements = new ArrayList<>();
    long attempt = (3L << 44) + random.nextInt(1000);
    for (int task = 0; task < tasks; task++) {
      switch (random.nextInt(5)) {
        case 0 -> completed.set(task);
        case 1 -> cleared.set(task);
        case 2 -> {}
        default -> {
          attempt += random.nextInt(4) == 0 ? 5 : 1;
          int machine = random.nextInt(6);
          placements.add(
              new RecordedPlacement(
                  task,
                  attempt,
                  new MachineInfo(
                      "i-00023" + machine, "type-" + machine % 2, "zone", machine % 3 == 0),
                  1 + machine));
        }
      }
    }
    return new Delta(
        uid,
        completed.cardinality(),
        placements.size(),
        TaskRanges.of(completed),
        TaskRanges.of(cleared),
        placements);
  }

  @Test
  void encodedRecordDecodesToTheSameRecord() {
    for (int seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      ProgressLogRecord.Builder builder = new ProgressLogRecord.Builder(seed, "4.7", 64_000);
      List<Delta> deltas = new ArrayList<>();
      for (int i = 0; i < random.nextInt(6); i++) {
        Delta delta = delta(random, "run-" + i, random.nextInt(60));
        assertTrue(builder.add(delta));
        deltas.add(delta);
      }
      assertEquals(
          new ProgressLogRecord(seed, "4.7", deltas),
          ProgressLogRecord.decode(builder.value()).orElseThrow());
      Map<String, String> counts = new HashMap<>();
      ProgressLogRecord.readCounts(
          builder.value(), (uid, completed, running) -> counts.put(uid, completed + "/" + running));
      deltas.forEach(
          delta ->
              assertEquals(
                  delta.jobCompleted() + "/" + delta.jobRunning(), counts.get(delta.uid())));
    }
  }

  @Test
  void recordStaysWithinItsSizeAndHoldsTheGuaranteedNumberOfTasks() {
    for (int kib : new int[] {1, 8, 16}) {
      int maxBytes = kib * 1024;
      int taskCount = ProgressLogRecord.Builder.guaranteedTaskCapacity(maxBytes);
      Random random = new Random(kib);
      for (int round = 0; round < 50; round++) {
        ProgressLogRecord.Builder builder =
            new ProgressLogRecord.Builder(Long.MAX_VALUE / 2, "9999999.99999", maxBytes);
        List<RecordedPlacement> placements = new ArrayList<>();
        for (int task = 0; task < taskCount; task++) {
          MachineInfo machine =
              new MachineInfo(
                  "i-" + (100_000 + task), "type-with-a-name", "zone-with-a-name", true);
          placements.add(
              new RecordedPlacement(99_000 + task, (1L << 60) + task * 7L, machine, 1_000 + task));
        }
        TaskRanges none = TaskRanges.of(new BitSet());
        assertTrue(
            builder.add(new Delta("run-999999999", 1, 1, none, none, placements)), kib + " KiB");
        while (builder.add(delta(random, "run-" + random.nextInt(100), 1 + random.nextInt(8)))) {
          assertTrue(Cbor.jsonSize(builder.value()) <= maxBytes);
        }
        assertTrue(Cbor.jsonSize(builder.value()) <= maxBytes);
        assertTrue(ProgressLogRecord.decode(builder.value()).isPresent());
      }
    }
  }

  @Test
  void malformedRecordIsNotDecoded() {
    ProgressLogRecord.Builder builder = new ProgressLogRecord.Builder(5, "1.1", 8_000);
    builder.add(delta(new Random(3), "run-1", 20));
    ObjectNode valid = (ObjectNode) builder.value();
    for (String field : List.of("n", "id", "jobs")) {
      ObjectNode incomplete = valid.deepCopy();
      incomplete.remove(field);
      assertFalse(ProgressLogRecord.decode(incomplete).isPresent(), field);
    }
    ObjectNode noHosts = valid.deepCopy();
    noHosts.putArray("hosts");
    assertFalse(ProgressLogRecord.decode(noHosts).isPresent());
    ObjectNode truncated = valid.deepCopy();
    truncated.putArray("jobs").add("run-1|3");
    assertFalse(ProgressLogRecord.decode(truncated).isPresent());
  }
}
