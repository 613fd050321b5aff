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
import org.ploverspindle.api.CancellationWriter.Outcome;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TokenBucket;

class CancellationWriterTest {
  private static final int MAX_CHANGES = 5;

  private final ManualStateStore store = new ManualStateStore();
  private final TokenBucket writes = new TokenBucket(store, 0, 100);
  private final List<Consumer<Boolean>> reads = new ArrayList<>();
  private final CancellationWriter cancellations =
      new CancellationWriter(
          store, store, writes, MAX_CHANGES, reads::add, new RecordingListener());
  private final Map<String, List<Outcome>> outcomes = new TreeMap<>();

  private final List<String> events = new ArrayList<>();

  private final class RecordingListener implements CancellationWriter.Listener {
    @Override
    public void sent() {
      events.add("sent with " + store.inFlight() + " in flight");
    }

    @Override
    public void committed(List<Change.Put> changes, long revision) {
      events.add("committed " + changes.size() + " while " + outcomes);
    }
  }

  private void cancel(String uid) {
    outcomes.computeIfAbsent(uid, u -> new ArrayList<>());
    cancellations.write(uid, outcomes.get(uid)::add);
  }

  private List<String> cancelledByOldestTransaction() {
    return store.oldestTransaction().changes().stream()
        .map(c -> c.key().substring(Keys.CANCELLATIONS.length()))
        .toList();
  }

  @Test
  void requestsWhileOneIsInFlightShareTheNextUpToTheLimit() {
    cancel("run-0");
    store.run(10);
    IntStream.rangeClosed(1, MAX_CHANGES + 2).forEach(i -> cancel("run-" + i));
    store.run(80);
    assertEquals(1, store.inFlight(), "one at a time while answers are prompt");
    assertEquals(List.of("run-0"), cancelledByOldestTransaction());
    store.commitAndRespond();
    store.run(10);
    assertEquals(
        List.of("run-1", "run-2", "run-3", "run-4", "run-5"),
        cancelledByOldestTransaction(),
        "the oldest");
    store.commitAndRespond();
    store.run(10);
    assertEquals(List.of("run-6", "run-7"), cancelledByOldestTransaction());
    store.commitAndRespond();
    assertEquals(
        MAX_CHANGES + 3,
        outcomes.values().stream().filter(List.of(Outcome.DURABLE)::equals).count());
    store.run(10);
    assertEquals(0, store.inFlight());
    assertEquals(100 - MAX_CHANGES - 3, writes.available(), "each change is paid for");
  }

  @Test
  void repeatedRequestsShareOneRecord() {
    cancel("run-0");
    cancel("run-0");
    cancel("run-1");
    cancel("run-0");
    store.run(10);
    assertEquals(List.of("run-0", "run-1"), cancelledByOldestTransaction());
    store.commitAndRespond();
    assertEquals(List.of(Outcome.DURABLE, Outcome.DURABLE, Outcome.DURABLE), outcomes.get("run-0"));
    assertEquals(List.of(Outcome.DURABLE), outcomes.get("run-1"));
  }

  @Test
  void nothingIsAcknowledgedBeforeTheRecordIsDurable() {
    cancel("run-0");
    store.run(60_000);
    assertTrue(outcomes.get("run-0").isEmpty());
    assertFalse(store.contains(Keys.cancellation("run-0")));
    store.respondWithoutCommit(new TransactionResult.Unknown());
    assertEquals(List.of(Outcome.UNCERTAIN), outcomes.get("run-0"));
    cancel("run-1");
    store.run(10);
    store.respondWithoutCommit(new TransactionResult.Refused(429));
    assertEquals(List.of(Outcome.REFUSED), outcomes.get("run-1"));
    cancel("run-2");
    store.run(10);
    store.commitAndRespond();
    assertEquals(List.of(Outcome.DURABLE), outcomes.get("run-2"));
    assertTrue(store.contains(Keys.cancellation("run-2")));
  }

  @Test
  void neitherACompletionNorAnEarlierRecordIsOverwritten() {
    cancel("run-0");
    store.run(10);
    List<Condition> conditions = store.oldestTransaction().conditions();
    assertTrue(conditions.contains(new Condition(Keys.completion("run-0"), 0)));
    assertTrue(conditions.contains(new Condition(Keys.cancellation("run-0"), 0)));
  }

  @Test
  void oneThatConflictsDoesNotFailTheOthersFinally() {
    store.writeByOthers(Keys.completion("run-1"), Cbor.map());
    IntStream.range(0, 3).forEach(i -> cancel("run-" + i));
    store.run(10);
    store.commitAndRespond();
    outcomes.values().forEach(h -> assertEquals(List.of(Outcome.UNCERTAIN), h, "to be read back"));
    // Whoever reads back finds the end, and the others are asked for again.
    cancel("run-0");
    cancel("run-2");
    store.run(10);
    store.commitAndRespond();
    assertEquals(List.of(Outcome.UNCERTAIN, Outcome.DURABLE), outcomes.get("run-0"));
    assertEquals(List.of(Outcome.UNCERTAIN, Outcome.DURABLE), outcomes.get("run-2"));
    assertFalse(store.contains(Keys.cancellation("run-1")));
  }

  @Test
  void aRepeatWhileTheRecordIsInFlightDoesNotDelayTheOthersOfTheNext() {
    cancel("run-0");
    store.run(10);
    cancel("run-0");
    cancel("run-1");
    store.commitAndRespond();
    store.run(10);
    store.commitAndRespond();
    assertEquals(List.of(Outcome.DURABLE, Outcome.DURABLE), outcomes.get("run-0"));
    assertEquals(List.of(Outcome.DURABLE), outcomes.get("run-1"));
  }

  @Test
  void aLateResponseDelaysNoOtherCancellation() {
    cancel("run-0");
    store.run(10);
    store.delayCommit();
    cancel("run-1");
    store.run(CancellationWriter.NEXT_AFTER_MS);
    assertEquals(List.of("run-1"), cancelledByOldestTransaction());
    store.commitAndRespond();
    assertEquals(List.of(Outcome.DURABLE), outcomes.get("run-1"));
    assertEquals(List.of(), outcomes.get("run-0"));
  }

  @Test
  void transactionsInFlightAreBoundedAndSpaced() {
    for (int i = 0; i < 100; i++) {
      cancel("run-" + i);
      store.run(10);
      assertTrue(store.inFlight() <= 1 + store.nowMs() / CancellationWriter.NEXT_AFTER_MS);
    }
    assertEquals(CancellationWriter.MAX_IN_FLIGHT, store.inFlight());
    store.run(60_000);
    assertEquals(CancellationWriter.MAX_IN_FLIGHT, store.inFlight(), "none while no read succeeds");
    store.respondWithoutCommit(new TransactionResult.Unknown());
    store.run(CancellationWriter.NEXT_AFTER_MS);
    assertEquals(CancellationWriter.MAX_IN_FLIGHT, store.inFlight(), "the next one goes out");
  }

  @Test
  void oneWithoutAResponseIsReadBackLongBeforeItsTimeout() {
    cancel("run-0");
    store.run(10);
    Runnable answer = store.commitAndDelayResponse();
    store.run(CancellationWriter.READ_BACK_AFTER_MS);
    assertEquals(1, reads.size());
    assertEquals(List.of(), outcomes.get("run-0"), "not before the replica was read");
    reads.get(0).accept(true);
    assertEquals(List.of(Outcome.READ_BACK), outcomes.get("run-0"));
    answer.run();
    assertEquals(List.of(Outcome.READ_BACK), outcomes.get("run-0"), "told once");
  }

  @Test
  void aFailedReadBackIsRetriedAndAnEarlierResponseCounts() {
    cancel("run-0");
    store.run(10);
    Runnable answer = store.commitAndDelayResponse();
    store.run(CancellationWriter.READ_BACK_AFTER_MS);
    reads.get(0).accept(false);
    assertEquals(List.of(), outcomes.get("run-0"));
    store.run(CancellationWriter.READ_BACK_AFTER_MS);
    assertEquals(2, reads.size());
    answer.run();
    reads.get(1).accept(true);
    assertEquals(List.of(Outcome.DURABLE), outcomes.get("run-0"));
    store.run(10_000);
    assertEquals(2, reads.size(), "none for one that is answered");
  }

  @Test
  void repeatsShareTheOutcomeOfAnyTransactionInFlight() {
    cancel("run-0");
    store.run(10);
    cancel("run-1");
    store.run(CancellationWriter.NEXT_AFTER_MS);
    assertEquals(2, store.inFlight());
    cancel("run-0");
    cancel("run-1");
    store.run(CancellationWriter.NEXT_AFTER_MS);
    assertEquals(2, store.inFlight(), "no record of their own");
    store.commitAndRespond();
    store.commitAndRespond();
    assertEquals(List.of(Outcome.DURABLE, Outcome.DURABLE), outcomes.get("run-0"));
    assertEquals(List.of(Outcome.DURABLE, Outcome.DURABLE), outcomes.get("run-1"));
  }

  /** Held up on its way, written again by a second one, and carried out after that, or before. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aLateTransactionAndItsRepeatCreateTheRecordOnce(boolean lateOneFirst) {
    cancel("run-0");
    store.run(10);
    Runnable late = store.delayCommit();
    store.run(CancellationWriter.READ_BACK_AFTER_MS);
    reads.get(0).accept(true);
    cancel("run-0");
    store.run(10);
    if (lateOneFirst) {
      late.run();
    }
    store.commitAndRespond();
    late.run();
    assertEquals(
        List.of(Outcome.READ_BACK, lateOneFirst ? Outcome.UNCERTAIN : Outcome.DURABLE),
        outcomes.get("run-0"));
    assertEquals(1, store.timesWritten(Keys.cancellation("run-0")));
  }

  @Test
  void aLateTransactionDoesNotCancelAJobThatIsDone() {
    cancel("run-0");
    store.run(10);
    Runnable late = store.delayCommit();
    store.writeByOthers(Keys.completion("run-0"), Cbor.map());
    late.run();
    assertFalse(store.contains(Keys.cancellation("run-0")));
  }

  @Test
  void theListenerIsNotifiedWhenItIsSentAndBeforeTheUserGetsAResponse() {
    cancel("run-0");
    assertEquals(List.of(), events);
    store.run(10);
    assertEquals(List.of("sent with 1 in flight"), events, "after the write itself");
    store.commitAndRespond();
    assertEquals("committed 1 while {run-0=[]}", events.get(1));
    assertEquals(List.of(Outcome.DURABLE), outcomes.get("run-0"));
  }

  @Test
  void aResponseAfterTheReadBackStillNotifiesThatItIsDurable() {
    cancel("run-0");
    store.run(10);
    Runnable answer = store.commitAndDelayResponse();
    store.run(CancellationWriter.READ_BACK_AFTER_MS);
    reads.get(0).accept(true);
    answer.run();
    assertEquals("committed 1 while {run-0=[READ_BACK]}", events.get(1));
  }
}
