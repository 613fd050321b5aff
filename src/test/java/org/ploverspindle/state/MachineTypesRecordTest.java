package org.ploverspindle.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Resources;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.StateStore.Change;

/**
 * Guards against stored machine types that are incomplete or exceed the largest value of the state
 * service. This can happen if the cloud lists more machine types than fit into one value.
 */
class MachineTypesRecordTest {
  private static List<MachineType> types(int count) {
    return IntStream.range(0, count)
        .mapToObj(
            i ->
                new MachineType(
                    "machine-type-" + i,
                    Resources.offered(16, 0, 64),
                    40,
                    1.25,
                    1.07,
                    0.39,
                    30,
                    List.of("zone-a", "zone-b")))
        .toList();
  }

  @Test
  void fewTypesUseTheSingleRecordAndManyTypesAreSplitIntoPartsWithinTheLimit() {
    assertEquals(
        List.of(new Change.Put(Keys.MACHINE_TYPES, MachineTypesRecord.encode(types(3)))),
        MachineTypesRecord.puts(types(3), 2048));
    for (int count : new int[] {14, 40}) {
      List<Change.Put> puts = MachineTypesRecord.puts(types(count), 2048);
      List<MachineType> read = new ArrayList<>();
      for (int i = 0; i < puts.size(); i++) {
        assertEquals(Keys.machineTypes(i), puts.get(i).key());
        assertTrue(Cbor.jsonSize(puts.get(i).value()) <= 2048);
        assertEquals(puts.size(), puts.get(i).value().path("parts").asInt());
        read.addAll(MachineTypesRecord.decode(puts.get(i).value()).orElseThrow());
      }
      assertEquals(types(count), read);
    }
  }
}
