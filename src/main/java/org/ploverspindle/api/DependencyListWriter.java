package org.ploverspindle.api;

import io.undertow.util.StatusCodes;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.DependenciesRecord;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores lists of dependencies that don't fit into the record of their job, in parts, before the
 * job itself is stored.
 *
 * <p>Writing is idempotent: parts are named by the content of the whole list and written only if
 * absent. So a stored part is correct whichever controller wrote it, even if it was written late. A
 * list that is partly stored is completed: this controller continues after the user got a response,
 * until the retention time has passed, and another controller continues when the user repeats the
 * request there.
 */
final class DependencyListWriter {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyListWriter.class);
  private static final int MAX_TRANSACTION_BYTES = 56 * 1024;
  private static final int MAX_PENDING_LISTS = 20;
  private static final int TRANSACTION_OVERHEAD_BYTES = 200;

  /**
   * Upper bound of the bytes that a part adds to a transaction beside its value: its key occurs in
   * its change and in its condition.
   */
  private static final int PART_OVERHEAD_BYTES = 250;

  /**
   * Time since the last request for a list after which its writing is given up. Until then the user
   * may repeat the request.
   */
  private static final long LIST_RETENTION_MS = 60_000;

  /** Delay after a refused transaction or a failed read. */
  private static final long RETRY_MS = 700;

  /**
   * Share of the state service's limit on changes per second that lists use; the rest is left to
   * the leader.
   */
  private static final double SHARE_OF_CHANGES = 0.4;

  private static final class PendingList {
    private final DependenciesRecord list;
    private final BitSet storedParts = new BitSet();
    private final List<Consumer<Boolean>> requests = new ArrayList<>();
    private long expiresMs;

    private PendingList(DependenciesRecord list) {
      this.list = list;
    }
  }

  /** The parts that one transaction stores. */
  private static final class PartBatch {
    private final List<Condition> conditions = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Integer> parts = new ArrayList<>();
    private int transactionBytes = TRANSACTION_OVERHEAD_BYTES;

    /**
     * Adds the part and returns true, or returns false if the transaction is full. The first part
     * always fits.
     */
    boolean add(DependenciesRecord list, int part, int maxChanges) {
      int partBytes = Cbor.jsonSize(list.parts().get(part)) + PART_OVERHEAD_BYTES;
      if (changes.size() >= maxChanges
          || !changes.isEmpty() && transactionBytes + partBytes > MAX_TRANSACTION_BYTES) {
        return false;
      }
      conditions.add(new Condition(list.key(part), 0));
      changes.add(new Change.Put(list.key(part), list.parts().get(part)));
      parts.add(part);
      transactionBytes += partBytes;
      return true;
    }
  }

  private final Scheduler scheduler;
  private final StateStore store;
  private final Replica replica;
  private final int maxChanges;
  private final double msPerPart;

  /** The lists that are not completely stored, by name, oldest first. */
  private final Map<String, PendingList> pendingLists = new LinkedHashMap<>();

  /** Whether a transaction is in flight or the delay before the next one has not passed. */
  private boolean sendBlocked;

  /**
   * @param maxChanges largest number of changes in a transaction
   * @param changesPerSecond limit of the state service on the changes per second of all controllers
   *     together
   */
  DependencyListWriter(
      Scheduler scheduler,
      StateStore store,
      Replica replica,
      int maxChanges,
      double changesPerSecond) {
    this.scheduler = scheduler;
    this.store = store;
    this.replica = replica;
    this.maxChanges = maxChanges;
    this.msPerPart = 1000 / (changesPerSecond * SHARE_OF_CHANGES);
  }

  /** Whether as many lists as allowed are being written, so that no further one may be added. */
  boolean isFull() {
    return pendingLists.size() >= MAX_PENDING_LISTS;
  }

  /**
   * Writes the list. Calls {@code then} with true once every part is durable, or with false if the
   * list is rejected or is not complete within the retention time.
   */
  void write(DependenciesRecord list, Consumer<Boolean> then) {
    PendingList pending = pendingLists.computeIfAbsent(list.name(), name -> new PendingList(list));
    pending.requests.add(then);
    pending.expiresMs = scheduler.nowMs() + LIST_RETENTION_MS;
    writeNext();
  }

  /** Sends the next transaction of the oldest list, unless one is in flight or still delayed. */
  private void writeNext() {
    while (!sendBlocked && !pendingLists.isEmpty()) {
      PendingList pending = pendingLists.values().iterator().next();
      List<Integer> missing = missingParts(pending);
      if (missing.isEmpty()) {
        finish(pending, true);
      } else if (scheduler.nowMs() > pending.expiresMs) {
        finish(pending, false);
      } else {
        send(pending, missing);
      }
    }
  }

  private List<Integer> missingParts(PendingList pending) {
    List<Integer> missing = new ArrayList<>();
    for (int part = 0; part < pending.list.parts().size(); part++) {
      if (!pending.storedParts.get(part) && replica.get(pending.list.key(part)).isEmpty()) {
        missing.add(part);
      }
    }
    return missing;
  }

  private void finish(PendingList pending, boolean stored) {
    pendingLists.remove(pending.list.name());
    pending.requests.forEach(request -> request.accept(stored));
  }

  private void send(PendingList pending, List<Integer> missing) {
    PartBatch batch = new PartBatch();
    for (int part : missing) {
      if (!batch.add(pending.list, part, maxChanges)) {
        break;
      }
    }
    sendBlocked = true;
    long nextSendMs = scheduler.nowMs() + Math.round(batch.parts.size() * msPerPart);
    store.commit(
        new StateStore.Transaction(batch.conditions, batch.changes),
        result -> handleResult(pending, batch.parts, nextSendMs, result));
  }

  private void handleResult(
      PendingList pending, List<Integer> parts, long nextSendMs, TransactionResult result) {
    if (result instanceof TransactionResult.Committed) {
      parts.forEach(pending.storedParts::set);
      boolean complete = missingParts(pending).isEmpty();
      writeNextAfter(complete ? 0 : nextSendMs - scheduler.nowMs());
    } else if (result instanceof TransactionResult.Refused refused) {
      if (refused.status() == StatusCodes.BAD_REQUEST) {
        LOG.error("dependency list rejected by the state service: list={}", pending.list.name());
        finish(pending, false);
      }
      writeNextAfter(RETRY_MS);
    } else {
      if (result instanceof TransactionResult.Conflict conflict) {
        // Every condition of the transaction is that a part is absent.
        parts.stream()
            .filter(part -> conflict.keys().contains(pending.list.key(part)))
            .forEach(pending.storedParts::set);
      }
      // Some parts are stored already or may still become so: the replica shows which are missing.
      replica.readBarrier(
          fresh -> writeNextAfter(fresh ? nextSendMs - scheduler.nowMs() : RETRY_MS));
    }
  }

  private void writeNextAfter(long delayMs) {
    if (delayMs > 0) {
      scheduler.schedule(delayMs, () -> writeNextAfter(0));
    } else {
      sendBlocked = false;
      writeNext();
    }
  }
}
