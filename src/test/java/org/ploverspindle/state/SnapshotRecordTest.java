package org.ploverspindle.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.SnapshotRecord.MachineInfo;
import org.ploverspindle.state.SnapshotRecord.RecordedPlacement;

/**
 * Guards against progress that is changed by storing it. A snapshot must decode to the statuses
 * that were encoded, must fit into one value, and must be rejected if a part of it is malformed.
 */
class SnapshotRecordTest {

  @Test
  void encodedSnapshotDecodesToTheSameSnapshot() {
    Random random = new Random(3);
    for (int round = 0; round < 200; round++) {
      BitSet completed = new BitSet();
      List<RecordedPlacement> placements = new ArrayList<>();
      for (int task = 0; task < 60; task++) {
        int status = random.nextInt(3);
        if (status == 0) {
          completed.set(task);
        } else if (status == 1) {
          MachineInfo machine =
              new MachineInfo("i-" + random.nextInt(9), "t", "z", random.nextBoolean());
          placements.add(
              new RecordedPlacement(task, random.nextLong() >>> 2, machine, random.nextInt(100)));
        }
      }
      SnapshotRecord record = new SnapshotRecord(completed, placements, placements.size(), 0);
      byte[] stored = Cbor.write(record.encode());
      assertEquals(Optional.of(record), SnapshotRecord.decode(Cbor.readMap(stored).orElseThrow()));
    }
  }

  @Test
  void snapshotOfTheLargestShardFitsInAValue() {
    for (int kib : new int[] {4, 8, 16}) {
      List<RecordedPlacement> placements = new ArrayList<>();
      int shardSize = SnapshotRecord.maxShardSize(kib * 1024);
      for (int task = 0; task < shardSize; task++) {
        MachineInfo machine =
            new MachineInfo("i-99" + task, "machine-type-16", "some-zone-a1", false);
        placements.add(new RecordedPlacement(99_000 + task, (1L << 40) + task, machine, 1234));
      }
      int size = Cbor.jsonSize(new SnapshotRecord(new BitSet(), placements, shardSize, 0).encode());
      assertTrue(size <= kib * 1024, size + " bytes for " + kib + " KiB");
    }
  }

  @Test
  void malformedSnapshotIsNotDecoded() {
    for (String live : List.of("1:2", "a:1:0:1", "1:1:7:1")) {
      assertEquals(
          Optional.empty(),
          SnapshotRecord.decode(Cbor.map().put("done", "").put("live", live)),
          live);
    }
    assertEquals(
        Optional.empty(), SnapshotRecord.decode(Cbor.map().put("done", "5-2").put("live", "")));
    assertEquals(Optional.empty(), SnapshotRecord.decode(Cbor.map().put("done", 3)));
  }
}
