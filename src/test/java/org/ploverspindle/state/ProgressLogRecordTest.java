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

class ProgressLogRecordTest {
  private static Delta delta(Random r, String uid, int tasks) {
    BitSet done = new BitSet();
    BitSet cleared = new BitSet();
    List<RecordedPlacement> live = new ArrayList<>();
    long attempt = (3L << 44) + r.nextInt(1000);
    for (int t = 0; t < tasks; t++) {
      switch (r.nextInt(5)) {
        case 0 -> done.set(t);
        case 1 -> cleared.set(t);
        case 2 -> {}
        default -> {
          attempt += r.nextInt(4) == 0 ? 5 : 1;
          int host = r.nextInt(6);
          live.add(
              new RecordedPlacement(
                  t,
                  attempt,
                  new MachineInfo("i-00023" + host, "type-" + host % 2, "zone", host % 3 == 0),
                  1 + host));
        }
      }
    }
    return new Delta(uid, done.cardinality(), live.size(), done, cleared, live);
  }

  @Test
  void whatIsWrittenIsRead() {
    for (int seed = 0; seed < 200; seed++) {
      Random r = new Random(seed);
      ProgressLogRecord.Builder b = new ProgressLogRecord.Builder(seed, "4.7", 64_000);
      List<Delta> deltas = new ArrayList<>();
      for (int i = 0; i < r.nextInt(6); i++) {
        Delta d = delta(r, "run-" + i, r.nextInt(60));
        assertTrue(b.add(d));
        deltas.add(d);
      }
      assertEquals(
          new ProgressLogRecord(seed, "4.7", deltas),
          ProgressLogRecord.decode(b.value()).orElseThrow());
      Map<String, String> counts = new HashMap<>();
      ProgressLogRecord.counts(
          b.value(), (uid, done, running) -> counts.put(uid, done + "/" + running));
      deltas.forEach(d -> assertEquals(d.doneCount() + "/" + d.running(), counts.get(d.uid())));
    }
  }

  @Test
  void aRecordNeverGrowsBeyondItsSizeAndTakesAGroupAlone() {
    for (int kb : new int[] {1, 8, 16}) {
      int size = kb * 1024;
      int group = ProgressLogRecord.Builder.tasksThatFit(size);
      Random r = new Random(kb);
      for (int round = 0; round < 50; round++) {
        ProgressLogRecord.Builder b =
            new ProgressLogRecord.Builder(Long.MAX_VALUE / 2, "9999999.99999", size);
        List<RecordedPlacement> live = new ArrayList<>();
        for (int t = 0; t < group; t++) {
          MachineInfo host =
              new MachineInfo("i-" + (100_000 + t), "type-with-a-name", "zone-with-a-name", true);
          live.add(new RecordedPlacement(99_000 + t, (1L << 60) + t * 7L, host, 1_000 + t));
        }
        BitSet none = new BitSet();
        assertTrue(b.add(new Delta("run-999999999", 1, 1, none, none, live)), kb + " KB");
        while (b.add(delta(r, "run-" + r.nextInt(100), 1 + r.nextInt(8)))) {
          assertTrue(Cbor.jsonSize(b.value()) <= size);
        }
        assertTrue(Cbor.jsonSize(b.value()) <= size);
        assertTrue(ProgressLogRecord.decode(b.value()).isPresent());
      }
    }
  }

  @Test
  void whatCanNotBeReadIsSaidToBe() {
    ProgressLogRecord.Builder b = new ProgressLogRecord.Builder(5, "1.1", 8_000);
    b.add(delta(new Random(3), "run-1", 20));
    ObjectNode good = (ObjectNode) b.value();
    for (String field : List.of("n", "id", "jobs")) {
      ObjectNode broken = good.deepCopy();
      broken.remove(field);
      assertFalse(ProgressLogRecord.decode(broken).isPresent(), field);
    }
    ObjectNode noHosts = good.deepCopy();
    noHosts.putArray("hosts");
    assertFalse(ProgressLogRecord.decode(noHosts).isPresent());
    ObjectNode cut = good.deepCopy();
    cut.putArray("jobs").add("run-1|3");
    assertFalse(ProgressLogRecord.decode(cut).isPresent());
  }
}
