package org.ploverspindle.progress;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.ploverspindle.cluster.Job;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;

/** Collects the conditions and changes of a transaction and estimates its size. */
final class TransactionBuilder {
  // Estimated sizes in bytes of the parts of a transaction, without the values.
  private static final int FIXED_BYTES = 300;
  private static final int COMPLETION_BYTES = 250;
  private static final int CHANGE_BYTES = 150;

  private final WriteLimits limits;
  private final List<Condition> conditions = new ArrayList<>();
  private final List<Change> changes = new ArrayList<>();
  private int bytes = FIXED_BYTES;
  private int largestValueBytes;

  /**
   * @param leaderRevision the mod revision that the leader key must have
   */
  TransactionBuilder(WriteLimits limits, long leaderRevision) {
    this.limits = limits;
    conditions.add(new Condition(Keys.LEADER, leaderRevision));
  }

  /**
   * Whether a change with a value of any permitted size fits.
   *
   * @param maxChanges the most changes that the transaction may have
   */
  boolean hasRoomForPut(int maxChanges) {
    return hasRoomForRemoval(maxChanges) && (changes.isEmpty() || limits.hasRoomForValue(bytes));
  }

  /**
   * Whether a change without a value fits.
   *
   * @param maxChanges the most changes that the transaction may have
   */
  boolean hasRoomForRemoval(int maxChanges) {
    return changes.size() < maxChanges && limits.hasRoomForConditions(conditions.size());
  }

  /**
   * Records that the job is complete, on condition that neither its cancellation nor its completion
   * is recorded yet.
   */
  void putCompletion(Job job) {
    // A job can't be both cancelled and complete: each is recorded only if the other is absent.
    conditions.add(new Condition(Keys.cancellation(job.uid()), 0));
    conditions.add(new Condition(Keys.completion(job.uid()), 0));
    changes.add(
        new Change.Put(Keys.completion(job.uid()), Cbor.map().put("tasks", job.spec().tasks())));
    bytes += COMPLETION_BYTES;
  }

  /**
   * Writes a value to a key.
   *
   * @param modRevision the mod revision that the key must have; 0 if it must not exist
   * @param size the size of the value in bytes
   */
  void put(String key, long modRevision, JsonNode value, int size) {
    conditions.add(new Condition(key, modRevision));
    changes.add(new Change.Put(key, value));
    bytes += size + CHANGE_BYTES;
    largestValueBytes = Math.max(largestValueBytes, size);
  }

  /** Removes a key, provided that it has this mod revision. */
  void remove(String key, long modRevision) {
    conditions.add(new Condition(key, modRevision));
    changes.add(new Change.Remove(key));
    bytes += CHANGE_BYTES;
  }

  StateStore.Transaction build() {
    return new StateStore.Transaction(conditions, changes);
  }

  int changeCount() {
    return changes.size();
  }

  int bytes() {
    return bytes;
  }

  int largestValueBytes() {
    return largestValueBytes;
  }
}
