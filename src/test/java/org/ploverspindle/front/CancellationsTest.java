package org.ploverspindle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.ploverspindle.front.Cancellations.Outcome;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.TxnResult;
import org.ploverspindle.state.TokenBucket;

class CancellationsTest {
  private static final int MOST = 5;

  private final HeldStore store = new HeldStore();
  private final TokenBucket writes = new TokenBucket(store, 0, 100);
  private final Cancellations cancellations = new Cancellations(store, store, writes, MOST);
  private final Map<String, List<Outcome>> heard = new TreeMap<>();

  private void cancel(String uid) {
    heard.computeIfAbsent(uid, u -> new ArrayList<>());
    cancellations.write(uid, heard.get(uid)::add);
  }

  private List<String> cancelledByTheOldest() {
    return store.oldest().changes().stream()
        .map(c -> c.key().substring(Keys.CANCELS.length()))
        .toList();
  }

  @Test
  void whatComesWhileOneIsUnderWaySharesTheNextUpToTheLimit() {
    cancel("run-0");
    store.run(10);
    IntStream.rangeClosed(1, MOST + 2).forEach(i -> cancel("run-" + i));
    store.run(5_000);
    assertEquals(1, store.underWay(), "one at a time");
    assertEquals(List.of("run-0"), cancelledByTheOldest());
    store.carryOut();
    store.run(10);
    assertEquals(
        List.of("run-1", "run-2", "run-3", "run-4", "run-5"), cancelledByTheOldest(), "the oldest");
    store.carryOut();
    store.run(10);
    assertEquals(List.of("run-6", "run-7"), cancelledByTheOldest());
    store.carryOut();
    assertEquals(MOST + 3, heard.values().stream().filter(List.of(Outcome.STANDS)::equals).count());
    store.run(10);
    assertEquals(0, store.underWay());
    assertEquals(100 - MOST - 3, writes.available(), "each change is paid for");
  }

  @Test
  void repeatsOfAUserShareOneRecord() {
    cancel("run-0");
    cancel("run-0");
    cancel("run-1");
    cancel("run-0");
    store.run(10);
    assertEquals(List.of("run-0", "run-1"), cancelledByTheOldest());
    store.carryOut();
    assertEquals(List.of(Outcome.STANDS, Outcome.STANDS, Outcome.STANDS), heard.get("run-0"));
    assertEquals(List.of(Outcome.STANDS), heard.get("run-1"));
  }

  @Test
  void nothingIsSaidBeforeTheRecordStands() {
    cancel("run-0");
    store.run(60_000);
    assertTrue(heard.get("run-0").isEmpty());
    assertFalse(store.holds(Keys.cancel("run-0")));
    store.answer(new TxnResult.Unknown());
    assertEquals(List.of(Outcome.UNCERTAIN), heard.get("run-0"));
    cancel("run-1");
    store.run(10);
    store.answer(new TxnResult.Refused(429));
    assertEquals(List.of(Outcome.REFUSED), heard.get("run-1"));
    cancel("run-2");
    store.run(10);
    store.carryOut();
    assertEquals(List.of(Outcome.STANDS), heard.get("run-2"));
    assertTrue(store.holds(Keys.cancel("run-2")));
  }

  @Test
  void neitherAnEndNorAnEarlierRecordIsOverwritten() {
    cancel("run-0");
    store.run(10);
    List<Condition> conditions = store.oldest().conditions();
    assertTrue(conditions.contains(new Condition(Keys.done("run-0"), 0)));
    assertTrue(conditions.contains(new Condition(Keys.cancel("run-0"), 0)));
  }

  @Test
  void oneThatConflictsDoesNotFailTheOthersForGood() {
    store.put(Keys.done("run-1"), Cbor.map());
    IntStream.range(0, 3).forEach(i -> cancel("run-" + i));
    store.run(10);
    store.carryOut();
    heard.values().forEach(h -> assertEquals(List.of(Outcome.UNCERTAIN), h, "to be read back"));
    // Whoever reads back finds the end, and the others are asked for again.
    cancel("run-0");
    cancel("run-2");
    store.run(10);
    store.carryOut();
    assertEquals(List.of(Outcome.UNCERTAIN, Outcome.STANDS), heard.get("run-0"));
    assertEquals(List.of(Outcome.UNCERTAIN, Outcome.STANDS), heard.get("run-2"));
    assertFalse(store.holds(Keys.cancel("run-1")));
  }

  @Test
  void aRepeatWhileTheRecordIsUnderWayDoesNotDelayTheOthersOfTheNext() {
    cancel("run-0");
    store.run(10);
    cancel("run-0");
    cancel("run-1");
    store.carryOut();
    store.run(10);
    store.carryOut();
    assertEquals(List.of(Outcome.STANDS, Outcome.STANDS), heard.get("run-0"));
    assertEquals(List.of(Outcome.STANDS), heard.get("run-1"));
  }
}
