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

/**
 * A transaction that stores accepted jobs. Each record that it creates holds as many jobs as fit
 * into one value of the state service.
 *
 * <p>A dependency of a job is guarded if the transaction requires that it is not cancelled; see
 * {@link DependencyCheck#guardedDependencies}.
 */
final class AcceptanceBatch {
  /**
   * Limits of the state service.
   *
   * @param maxValueBytes largest size of a record's value in bytes
   * @param maxChanges largest number of changes in a transaction
   */
  record Limits(int maxValueBytes, int maxChanges) {
    private int maxConditions() {
      return maxConditions(maxChanges);
    }

    private static int maxConditions(int maxChanges) {
      return CONDITIONS_PER_CHANGE * maxChanges;
    }
  }

  /**
   * Upper bound of the size of a transaction: a record is added only while a value of the largest
   * size would still fit.
   */
  private static final int MAX_TRANSACTION_BYTES = 56 * 1024;

  /** A transaction may have this many times as many conditions as changes. */
  private static final int CONDITIONS_PER_CHANGE = 4;

  /**
   * Upper bound of the conditions that a job adds regardless of its dependencies: two on the job
   * itself, and one on the record that stores it.
   */
  private static final int BASE_CONDITIONS_PER_JOB = 3;

  /**
   * Upper bound of the bytes that a transaction, each of its records, and each job's own conditions
   * add to the size of the transaction.
   */
  private static final int OVERHEAD_BYTES = 200;

  /** Upper bound of the bytes of the condition on one guarded dependency. */
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

  /**
   * Returns how many guarded dependencies a job may have so that all its conditions fit into one
   * transaction.
   */
  static int maxGuardedDependencies(int maxChanges) {
    return Limits.maxConditions(maxChanges) - BASE_CONDITIONS_PER_JOB;
  }

  /**
   * Moves jobs from the head of the queue into this batch, as many as fit into the transaction.
   *
   * @param maxRecords largest number of records in the batch
   * @param nextKey supplies the key of each record
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
   * Adds the conditions that the job is neither cancelled nor done and that none of its guarded
   * dependencies is cancelled. Another controller may have accepted the job earlier, and the
   * replica of this controller may not show that yet. Without these conditions a job that was
   * reported as done or aborted would be reported as queued again.
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

  int changeCount() {
    return changes.size();
  }

  StateStore.Transaction transaction() {
    return new StateStore.Transaction(conditions, changes);
  }
}
