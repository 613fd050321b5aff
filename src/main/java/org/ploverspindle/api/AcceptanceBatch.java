package org.ploverspindle.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;

/** One transaction that stores several jobs, as many as fit into each record. */
final class AcceptanceBatch {
  private static final int MAX_TRANSACTION_BYTES = 56 * 1024;
  private static final int CONDITIONS_PER_CHANGE = 4;

  /** Two of the job itself, and one for the record that it will stand in. */
  private static final int OWN_CONDITIONS = 3;

  /** What the transaction, a record and a job's conditions take, beyond what is counted. */
  private static final int FRAME_BYTES = 200;

  private static final int GUARD_BYTES = 100;
  private static final int EMPTY_MAP_BYTES = 2;

  private final int maxValueBytes;
  private final int maxConditions;
  private final List<PendingAcceptance> acceptances = new ArrayList<>();
  private final List<Condition> conditions = new ArrayList<>();
  private final List<Change> changes = new ArrayList<>();
  private int bytes = FRAME_BYTES;

  AcceptanceBatch(int valueBytes, int txnOps) {
    this.maxValueBytes = valueBytes;
    this.maxConditions = conditionsOf(txnOps);
  }

  private static int conditionsOf(int txnOps) {
    return CONDITIONS_PER_CHANGE * txnOps;
  }

  /** Conditions that one job's guards may take. */
  static int maxGuards(int txnOps) {
    return conditionsOf(txnOps) - OWN_CONDITIONS;
  }

  /** Takes as many of the waiting ones as fit, in records with the names that are given. */
  void fill(Deque<PendingAcceptance> waiting, int mostRecords, Supplier<String> nextKey) {
    while (changes.size() < mostRecords
        && nextFits(waiting)
        && bytes < MAX_TRANSACTION_BYTES - maxValueBytes) {
      addRecord(waiting, nextKey);
    }
  }

  private void addRecord(Deque<PendingAcceptance> waiting, Supplier<String> nextKey) {
    ObjectNode jobs = Cbor.map();
    int size = EMPTY_MAP_BYTES;
    while (nextFits(waiting) && size + waiting.peek().bytes() <= maxValueBytes) {
      PendingAcceptance creation = waiting.poll();
      addConditions(creation);
      jobs.set(creation.uid(), creation.record());
      size += creation.bytes();
      acceptances.add(creation);
    }
    String key = nextKey.get();
    conditions.add(new Condition(key, 0));
    changes.add(new Change.Put(key, jobs));
    bytes += size + FRAME_BYTES;
  }

  /**
   * Another node may have accepted the job long ago, which this replica need not show yet: a job
   * that was called done or cancelled must not be called queued for it.
   */
  private void addConditions(PendingAcceptance creation) {
    conditions.add(new Condition(Keys.cancellation(creation.uid()), 0));
    conditions.add(new Condition(Keys.completion(creation.uid()), 0));
    creation.guards().forEach(guard -> conditions.add(new Condition(Keys.cancellation(guard), 0)));
    bytes += FRAME_BYTES + GUARD_BYTES * creation.guards().size();
  }

  private boolean nextFits(Deque<PendingAcceptance> waiting) {
    return !waiting.isEmpty()
        && conditions.size() + OWN_CONDITIONS + waiting.peek().guards().size() <= maxConditions;
  }

  List<PendingAcceptance> acceptances() {
    return acceptances;
  }

  /** How many changes the transaction has. */
  int size() {
    return changes.size();
  }

  StateStore.Transaction transaction() {
    return new StateStore.Transaction(conditions, changes);
  }
}
