package org.ploverspindle.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.api.Cancellations.Outcome;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TokenBucket;

class CancellationsTest {
  private static final int MOST = 5;

  private final ManualStateStore store = new ManualStateStore();
  private final TokenBucket writes = new TokenBucket(store, 0, 100);
  private final List<Consumer<Boolean>> reads = new ArrayList<>();
  private final Cancellations cancellations =
      new Cancellations(store, store, writes, MOST, reads::add, new Hearer());
  private final Map<String, List<Outcome>> heard = new TreeMap<>();

  private final List<String> events = new ArrayList<>();

  private final class Hearer implements Cancellations.Listener {
    @Override
    public void sent() {
      events.add("sent with " + store.underWay() + " in flight");
    }

    @Override
    public void committed(List<Change.Put> cancellations, long ledger) {
      events.add("committed " + cancellations.size() + " while " + heard);
    }
  }

  private void cancel(String uid) {
    heard.computeIfAbsent(uid, u -> new ArrayList<>());
    cancellations.write(uid, heard.get(uid)::add);
  }

  private List<String> cancelledByTheOldest() {
    return store.oldest().changes().stream()
        .map(c -> c.key().substring(Keys.CANCELLATIONS.length()))
        .toList();
  }

  @Test
  void whatComesWhileOneIsUnderWaySharesTheNextUpToTheLimit() {
    cancel("run-0");
    store.run(10);
    IntStream.rangeClosed(1, MOST + 2).forEach(i -> cancel("run-" + i));
    store.run(80);
    assertEquals(1, store.underWay(), "one at a time while answers are prompt");
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
    assertFalse(store.holds(Keys.cancellation("run-0")));
    store.answer(new TransactionResult.Unknown());
    assertEquals(List.of(Outcome.UNCERTAIN), heard.get("run-0"));
    cancel("run-1");
    store.run(10);
    store.answer(new TransactionResult.Refused(429));
    assertEquals(List.of(Outcome.REFUSED), heard.get("run-1"));
    cancel("run-2");
    store.run(10);
    store.carryOut();
    assertEquals(List.of(Outcome.STANDS), heard.get("run-2"));
    assertTrue(store.holds(Keys.cancellation("run-2")));
  }

  @Test
  void neitherAnEndNorAnEarlierRecordIsOverwritten() {
    cancel("run-0");
    store.run(10);
    List<Condition> conditions = store.oldest().conditions();
    assertTrue(conditions.contains(new Condition(Keys.completion("run-0"), 0)));
    assertTrue(conditions.contains(new Condition(Keys.cancellation("run-0"), 0)));
  }

  @Test
  void oneThatConflictsDoesNotFailTheOthersForGood() {
    store.put(Keys.completion("run-1"), Cbor.map());
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
    assertFalse(store.holds(Keys.cancellation("run-1")));
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

  @Test
  void anAnswerThatIsLateHoldsBackNoOtherCancellation() {
    cancel("run-0");
    store.run(10);
    store.holdUp();
    cancel("run-1");
    store.run(Cancellations.NEXT_AFTER_MS);
    assertEquals(List.of("run-1"), cancelledByTheOldest());
    store.carryOut();
    assertEquals(List.of(Outcome.STANDS), heard.get("run-1"));
    assertEquals(List.of(), heard.get("run-0"));
  }

  @Test
  void onlySoManyAreInFlightAndAtSuchASpacing() {
    for (int i = 0; i < 100; i++) {
      cancel("run-" + i);
      store.run(10);
      assertTrue(store.underWay() <= 1 + store.nowMs() / Cancellations.NEXT_AFTER_MS);
    }
    assertEquals(Cancellations.MOST_IN_FLIGHT, store.underWay());
    store.run(60_000);
    assertEquals(Cancellations.MOST_IN_FLIGHT, store.underWay(), "none while no read succeeds");
    store.answer(new TransactionResult.Unknown());
    store.run(Cancellations.NEXT_AFTER_MS);
    assertEquals(Cancellations.MOST_IN_FLIGHT, store.underWay(), "the next one goes out");
  }

  @Test
  void oneWithoutAnAnswerIsReadBackLongBeforeItsTimeout() {
    cancel("run-0");
    store.run(10);
    Runnable answer = store.carryOutAndHold();
    store.run(Cancellations.READ_BACK_AFTER_MS);
    assertEquals(1, reads.size());
    assertEquals(List.of(), heard.get("run-0"), "not before the replica was read");
    reads.get(0).accept(true);
    assertEquals(List.of(Outcome.READ_BACK), heard.get("run-0"));
    answer.run();
    assertEquals(List.of(Outcome.READ_BACK), heard.get("run-0"), "told once");
  }

  @Test
  void aReadBackThatFailsIsTriedAgainAndTheAnswerCountsIfItComesFirst() {
    cancel("run-0");
    store.run(10);
    Runnable answer = store.carryOutAndHold();
    store.run(Cancellations.READ_BACK_AFTER_MS);
    reads.get(0).accept(false);
    assertEquals(List.of(), heard.get("run-0"));
    store.run(Cancellations.READ_BACK_AFTER_MS);
    assertEquals(2, reads.size());
    answer.run();
    reads.get(1).accept(true);
    assertEquals(List.of(Outcome.STANDS), heard.get("run-0"));
    store.run(10_000);
    assertEquals(2, reads.size(), "none for one that is answered");
  }

  @Test
  void repeatsShareTheOutcomeOfAnyTransactionInFlight() {
    cancel("run-0");
    store.run(10);
    cancel("run-1");
    store.run(Cancellations.NEXT_AFTER_MS);
    assertEquals(2, store.underWay());
    cancel("run-0");
    cancel("run-1");
    store.run(Cancellations.NEXT_AFTER_MS);
    assertEquals(2, store.underWay(), "no record of their own");
    store.carryOut();
    store.carryOut();
    assertEquals(List.of(Outcome.STANDS, Outcome.STANDS), heard.get("run-0"));
    assertEquals(List.of(Outcome.STANDS, Outcome.STANDS), heard.get("run-1"));
  }

  /** Held up on its way, written again by a second one, and carried out after that, or before. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aLateTransactionAndItsRepeatCreateTheRecordOnce(boolean lateOneFirst) {
    cancel("run-0");
    store.run(10);
    Runnable late = store.holdUp();
    store.run(Cancellations.READ_BACK_AFTER_MS);
    reads.get(0).accept(true);
    cancel("run-0");
    store.run(10);
    if (lateOneFirst) {
      late.run();
    }
    store.carryOut();
    late.run();
    assertEquals(
        List.of(Outcome.READ_BACK, lateOneFirst ? Outcome.UNCERTAIN : Outcome.STANDS),
        heard.get("run-0"));
    assertEquals(1, store.timesWritten(Keys.cancellation("run-0")));
  }

  @Test
  void aLateTransactionDoesNotCancelAJobThatIsDone() {
    cancel("run-0");
    store.run(10);
    Runnable late = store.holdUp();
    store.put(Keys.completion("run-0"), Cbor.map());
    late.run();
    assertFalse(store.holds(Keys.cancellation("run-0")));
  }

  @Test
  void othersLearnOfItWhenItIsSentAndBeforeTheUserIsTold() {
    cancel("run-0");
    assertEquals(List.of(), events);
    store.run(10);
    assertEquals(List.of("sent with 1 in flight"), events, "after the write itself");
    store.carryOut();
    assertEquals("committed 1 while {run-0=[]}", events.get(1));
    assertEquals(List.of(Outcome.STANDS), heard.get("run-0"));
  }

  @Test
  void anAnswerAfterTheReadBackStillSaysThatItIsDurable() {
    cancel("run-0");
    store.run(10);
    Runnable answer = store.carryOutAndHold();
    store.run(Cancellations.READ_BACK_AFTER_MS);
    reads.get(0).accept(true);
    answer.run();
    assertEquals("committed 1 while {run-0=[READ_BACK]}", events.get(1));
  }
}
