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

/**
 * Guards against cancellations that are lost, delayed, acknowledged too early or written twice when
 * responses of the state service are late, lost or negative, or when transactions are executed
 * late.
 */
class CancellationWriterTest {
  private static final int MAX_CHANGES = 5;

  private final ManualStateStore store = new ManualStateStore();
  private final TokenBucket writeBudget = new TokenBucket(store, 0, 100);
  private final List<Consumer<Boolean>> readBarriers = new ArrayList<>();
  private final CancellationWriter cancellationWriter =
      new CancellationWriter(
          store, store, writeBudget, MAX_CHANGES, readBarriers::add, new RecordingListener());
  private final Map<String, List<Outcome>> outcomes = new TreeMap<>();

  private final List<String> events = new ArrayList<>();

  private final class RecordingListener implements CancellationWriter.Listener {
    @Override
    public void transactionSent() {
      events.add("sent with " + store.inFlightCount() + " in flight");
    }

    @Override
    public void cancellationsCommitted(List<Change.Put> changes, long revision) {
      events.add("committed " + changes.size() + " while " + outcomes);
    }
  }

  private void cancel(String uid) {
    outcomes.computeIfAbsent(uid, key -> new ArrayList<>());
    cancellationWriter.write(uid, outcomes.get(uid)::add);
  }

  private List<String> uidsInOldestTransaction() {
    return store.oldestTransaction().changes().stream()
        .map(change -> change.key().substring(Keys.CANCELLATIONS.length()))
        .toList();
  }

  @Test
  void requestsDuringTransactionShareNextTransactionUpToMaxChanges() {
    cancel("run-0");
    store.runFor(10);
    IntStream.rangeClosed(1, MAX_CHANGES + 2).forEach(i -> cancel("run-" + i));
    store.runFor(80);
    assertEquals(1, store.inFlightCount(), "one transaction at a time while responses are prompt");
    assertEquals(List.of("run-0"), uidsInOldestTransaction());
    store.commitAndRespond();
    store.runFor(10);
    assertEquals(
        List.of("run-1", "run-2", "run-3", "run-4", "run-5"),
        uidsInOldestTransaction(),
        "the oldest requests first");
    store.commitAndRespond();
    store.runFor(10);
    assertEquals(List.of("run-6", "run-7"), uidsInOldestTransaction());
    store.commitAndRespond();
    assertEquals(
        MAX_CHANGES + 3,
        outcomes.values().stream().filter(List.of(Outcome.DURABLE)::equals).count());
    store.runFor(10);
    assertEquals(0, store.inFlightCount());
    assertEquals(
        100 - MAX_CHANGES - 3, writeBudget.available(), "each change is charged to the budget");
  }

  @Test
  void repeatedRequestsShareOneRecord() {
    cancel("run-0");
    cancel("run-0");
    cancel("run-1");
    cancel("run-0");
    store.runFor(10);
    assertEquals(List.of("run-0", "run-1"), uidsInOldestTransaction());
    store.commitAndRespond();
    assertEquals(List.of(Outcome.DURABLE, Outcome.DURABLE, Outcome.DURABLE), outcomes.get("run-0"));
    assertEquals(List.of(Outcome.DURABLE), outcomes.get("run-1"));
  }

  @Test
  void cancellationIsAcknowledgedOnlyOnceDurable() {
    cancel("run-0");
    store.runFor(60_000);
    assertTrue(outcomes.get("run-0").isEmpty());
    assertFalse(store.contains(Keys.cancellation("run-0")));
    store.respondWithoutCommit(new TransactionResult.Unknown());
    assertEquals(List.of(Outcome.UNCERTAIN), outcomes.get("run-0"));
    cancel("run-1");
    store.runFor(10);
    store.respondWithoutCommit(new TransactionResult.Refused(429));
    assertEquals(List.of(Outcome.REFUSED), outcomes.get("run-1"));
    cancel("run-2");
    store.runFor(10);
    store.commitAndRespond();
    assertEquals(List.of(Outcome.DURABLE), outcomes.get("run-2"));
    assertTrue(store.contains(Keys.cancellation("run-2")));
  }

  @Test
  void transactionRequiresAbsentCompletionAndCancellation() {
    cancel("run-0");
    store.runFor(10);
    List<Condition> conditions = store.oldestTransaction().conditions();
    assertTrue(conditions.contains(new Condition(Keys.completion("run-0"), 0)));
    assertTrue(conditions.contains(new Condition(Keys.cancellation("run-0"), 0)));
  }

  @Test
  void conflictOfOneJobLeavesOthersRetryable() {
    store.writeFromAnotherProcess(Keys.completion("run-1"), Cbor.map());
    IntStream.range(0, 3).forEach(i -> cancel("run-" + i));
    store.runFor(10);
    store.commitAndRespond();
    outcomes
        .values()
        .forEach(
            jobOutcomes ->
                assertEquals(List.of(Outcome.UNCERTAIN), jobOutcomes, "must be read back"));
    // After the read, run-1 is known to be done, and the other cancellations are requested again.
    cancel("run-0");
    cancel("run-2");
    store.runFor(10);
    store.commitAndRespond();
    assertEquals(List.of(Outcome.UNCERTAIN, Outcome.DURABLE), outcomes.get("run-0"));
    assertEquals(List.of(Outcome.UNCERTAIN, Outcome.DURABLE), outcomes.get("run-2"));
    assertFalse(store.contains(Keys.cancellation("run-1")));
  }

  @Test
  void repeatedRequestDuringTransactionDoesNotDelayNextTransaction() {
    cancel("run-0");
    store.runFor(10);
    cancel("run-0");
    cancel("run-1");
    store.commitAndRespond();
    store.runFor(10);
    store.commitAndRespond();
    assertEquals(List.of(Outcome.DURABLE, Outcome.DURABLE), outcomes.get("run-0"));
    assertEquals(List.of(Outcome.DURABLE), outcomes.get("run-1"));
  }

  @Test
  void lateResponseDoesNotDelayOtherCancellations() {
    cancel("run-0");
    store.runFor(10);
    store.delayCommit();
    cancel("run-1");
    store.runFor(CancellationWriter.LATE_RESPONSE_AFTER_MS);
    assertEquals(List.of("run-1"), uidsInOldestTransaction());
    store.commitAndRespond();
    assertEquals(List.of(Outcome.DURABLE), outcomes.get("run-1"));
    assertEquals(List.of(), outcomes.get("run-0"));
  }

  @Test
  void inFlightTransactionsAreLimitedInNumberAndRate() {
    for (int i = 0; i < 100; i++) {
      cancel("run-" + i);
      store.runFor(10);
      assertTrue(
          store.inFlightCount() <= 1 + store.nowMs() / CancellationWriter.LATE_RESPONSE_AFTER_MS);
    }
    assertEquals(CancellationWriter.MAX_IN_FLIGHT_TRANSACTIONS, store.inFlightCount());
    store.runFor(60_000);
    assertEquals(
        CancellationWriter.MAX_IN_FLIGHT_TRANSACTIONS,
        store.inFlightCount(),
        "no further transaction while no read succeeds");
    store.respondWithoutCommit(new TransactionResult.Unknown());
    store.runFor(CancellationWriter.LATE_RESPONSE_AFTER_MS);
    assertEquals(
        CancellationWriter.MAX_IN_FLIGHT_TRANSACTIONS,
        store.inFlightCount(),
        "the next transaction is sent");
  }

  @Test
  void transactionWithoutResponseIsReadBackBeforeItsTimeout() {
    cancel("run-0");
    store.runFor(10);
    Runnable respond = store.commitAndDelayResponse();
    store.runFor(CancellationWriter.READ_BACK_AFTER_MS);
    assertEquals(1, readBarriers.size());
    assertEquals(List.of(), outcomes.get("run-0"), "no outcome before the replica is read");
    readBarriers.get(0).accept(true);
    assertEquals(List.of(Outcome.READ_BACK), outcomes.get("run-0"));
    respond.run();
    assertEquals(
        List.of(Outcome.READ_BACK), outcomes.get("run-0"), "the outcome is delivered once");
  }

  @Test
  void failedReadBackIsRetriedAndResponseBeforeItDecides() {
    cancel("run-0");
    store.runFor(10);
    Runnable respond = store.commitAndDelayResponse();
    store.runFor(CancellationWriter.READ_BACK_AFTER_MS);
    readBarriers.get(0).accept(false);
    assertEquals(List.of(), outcomes.get("run-0"));
    store.runFor(CancellationWriter.READ_BACK_AFTER_MS);
    assertEquals(2, readBarriers.size());
    respond.run();
    readBarriers.get(1).accept(true);
    assertEquals(List.of(Outcome.DURABLE), outcomes.get("run-0"));
    store.runFor(10_000);
    assertEquals(2, readBarriers.size(), "no read-back of a transaction with an outcome");
  }

  @Test
  void repeatedRequestSharesOutcomeOfItsInFlightTransaction() {
    cancel("run-0");
    store.runFor(10);
    cancel("run-1");
    store.runFor(CancellationWriter.LATE_RESPONSE_AFTER_MS);
    assertEquals(2, store.inFlightCount());
    cancel("run-0");
    cancel("run-1");
    store.runFor(CancellationWriter.LATE_RESPONSE_AFTER_MS);
    assertEquals(2, store.inFlightCount(), "no transaction for the repeated requests");
    store.commitAndRespond();
    store.commitAndRespond();
    assertEquals(List.of(Outcome.DURABLE, Outcome.DURABLE), outcomes.get("run-0"));
    assertEquals(List.of(Outcome.DURABLE, Outcome.DURABLE), outcomes.get("run-1"));
  }

  /**
   * A transaction is delayed on its way to the state service, its cancellation is written again by
   * a second transaction, and the first one is executed after the second one, or both before and
   * after it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void delayedTransactionAndItsRetryCreateRecordOnce(boolean delayedCommitsFirst) {
    cancel("run-0");
    store.runFor(10);
    Runnable commitDelayed = store.delayCommit();
    store.runFor(CancellationWriter.READ_BACK_AFTER_MS);
    readBarriers.get(0).accept(true);
    cancel("run-0");
    store.runFor(10);
    if (delayedCommitsFirst) {
      commitDelayed.run();
    }
    store.commitAndRespond();
    commitDelayed.run();
    assertEquals(
        List.of(Outcome.READ_BACK, delayedCommitsFirst ? Outcome.UNCERTAIN : Outcome.DURABLE),
        outcomes.get("run-0"));
    assertEquals(1, store.timesWritten(Keys.cancellation("run-0")));
  }

  @Test
  void delayedTransactionDoesNotCancelDoneJob() {
    cancel("run-0");
    store.runFor(10);
    Runnable commitDelayed = store.delayCommit();
    store.writeFromAnotherProcess(Keys.completion("run-0"), Cbor.map());
    commitDelayed.run();
    assertFalse(store.contains(Keys.cancellation("run-0")));
  }

  @Test
  void listenerIsNotifiedAfterSendAndBeforeUserResponse() {
    cancel("run-0");
    assertEquals(List.of(), events);
    store.runFor(10);
    assertEquals(
        List.of("sent with 1 in flight"), events, "notified after the transaction was sent");
    store.commitAndRespond();
    assertEquals("committed 1 while {run-0=[]}", events.get(1));
    assertEquals(List.of(Outcome.DURABLE), outcomes.get("run-0"));
  }

  @Test
  void commitResponseAfterReadBackStillNotifiesListener() {
    cancel("run-0");
    store.runFor(10);
    Runnable respond = store.commitAndDelayResponse();
    store.runFor(CancellationWriter.READ_BACK_AFTER_MS);
    readBarriers.get(0).accept(true);
    respond.run();
    assertEquals("committed 1 while {run-0=[READ_BACK]}", events.get(1));
  }
}
