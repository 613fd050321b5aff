package org.ploverspindle.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;

/** One transaction that stores several accepted jobs, as many as fit into each record. */
final class AcceptanceBatch {
  /**
   * What the state service allows.
   *
   * @param maxValueBytes size of a record's value
   * @param maxChanges changes of a transaction
   */
  record Limits(int maxValueBytes, int maxChanges) {
    private int maxConditions() {
      return maxConditions(maxChanges);
    }

    private static int maxConditions(int maxChanges) {
      return CONDITIONS_PER_CHANGE * maxChanges;
    }
  }

  private static final int MAX_TRANSACTION_BYTES = 56 * 1024;
  private static final int CONDITIONS_PER_CHANGE = 4;

  /** Two for the job itself, and one for the record that it is stored in. */
  private static final int BASE_CONDITIONS_PER_JOB = 3;

  /** Upper bound of what a transaction, a record or a job's own conditions add in size. */
  private static final int OVERHEAD_BYTES = 200;

  private static final int BYTES_PER_GUARDED_DEPENDENCY = 100;
  private static final int EMPTY_MAP_BYTES = 2;

  private final Limits limits;
  private final List<PendingAcceptance> acceptances = new ArrayList<>();
  private final List<Condition> conditions = new ArrayList<>();
  private final List<Change> changes = new ArrayList<>();
  private int transactionBytes = OVERHEAD_BYTES;

  AcceptanceBatch(Limits limits) {
    this.limits = limits;
  }

  /** How many guards one job may have, so that its conditions fit into a transaction. */
  static int maxGuardedDependencies(int maxChanges) {
    return Limits.maxConditions(maxChanges) - BASE_CONDITIONS_PER_JOB;
  }

  /**
   * Moves jobs from the head of the queue into this batch, as many as fit.
   *
   * @param maxRecords how many records the batch may have
   * @param nextKey names each record
   */
  void fill(Deque<PendingAcceptance> queue, int maxRecords, Supplier<String> nextKey) {
    while (changes.size() < maxRecords
        && nextFits(queue)
        && transactionBytes < MAX_TRANSACTION_BYTES - limits.maxValueBytes()) {
      addRecord(queue, nextKey);
    }
  }

  private void addRecord(Deque<PendingAcceptance> queue, Supplier<String> nextKey) {
    ObjectNode jobs = Cbor.map();
    int valueBytes = EMPTY_MAP_BYTES;
    while (nextFits(queue) && valueBytes + queue.peek().storedBytes() <= limits.maxValueBytes()) {
      PendingAcceptance acceptance = queue.poll();
      addConditions(acceptance);
      jobs.set(acceptance.uid(), acceptance.jobRecord());
      valueBytes += acceptance.storedBytes();
      acceptances.add(acceptance);
    }
    String key = nextKey.get();
    conditions.add(new Condition(key, 0));
    changes.add(new Change.Put(key, jobs));
    transactionBytes += valueBytes + OVERHEAD_BYTES;
  }

  /**
   * The job may have been accepted at another controller before, which this replica may not show
   * yet. Without these conditions a job that was reported as done or aborted would be reported as
   * queued again.
   */
  private void addConditions(PendingAcceptance acceptance) {
    conditions.add(new Condition(Keys.cancellation(acceptance.uid()), 0));
    conditions.add(new Condition(Keys.completion(acceptance.uid()), 0));
    for (String dependency : acceptance.guardedDependencies()) {
      conditions.add(new Condition(Keys.cancellation(dependency), 0));
    }
    transactionBytes +=
        OVERHEAD_BYTES + BYTES_PER_GUARDED_DEPENDENCY * acceptance.guardedDependencies().size();
  }

  private boolean nextFits(Deque<PendingAcceptance> queue) {
    return !queue.isEmpty()
        && conditions.size() + BASE_CONDITIONS_PER_JOB + queue.peek().guardedDependencies().size()
            <= limits.maxConditions();
  }

  List<PendingAcceptance> acceptances() {
    return Collections.unmodifiableList(acceptances);
  }

  /** How many changes the transaction has. */
  int changeCount() {
    return changes.size();
  }

  StateStore.Transaction transaction() {
    return new StateStore.Transaction(conditions, changes);
  }
}
