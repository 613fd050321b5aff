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
 * Stores long lists of dependencies, part by part, before the jobs that they belong to.
 *
 * <p>Writing is idempotent: parts are named by the whole list's content and written only if absent.
 * So a stored part is the right one whoever wrote it, even late, and a list that was begun is
 * completed: here after its user got a response, and elsewhere when the user repeats the request
 * there.
 */
final class DependencyListWriter {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyListWriter.class);
  private static final int MAX_TRANSACTION_BYTES = 56 * 1024;
  private static final int MAX_PENDING_LISTS = 20;
  private static final int TRANSACTION_OVERHEAD_BYTES = 200;

  /** A part's key occurs in its change and in its condition. */
  private static final int PART_OVERHEAD_BYTES = 250;

  /** Time after its last request in which a user may still repeat it. */
  private static final long LIST_RETENTION_MS = 60_000;

  private static final long RETRY_MS = 700;

  /** Share of the state service's changes; the rest is left to the leader. */
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

  /** The parts of one transaction, as many as fit. */
  private static final class PartBatch {
    private final List<Condition> conditions = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Integer> parts = new ArrayList<>();
    private int transactionBytes = TRANSACTION_OVERHEAD_BYTES;

    /** Adds the part, unless the transaction is full. A first part always fits. */
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

  /** By the list's name, the oldest first. */
  private final Map<String, PendingList> pendingLists = new LinkedHashMap<>();

  /** A transaction is in flight, or the time before the next one has not passed. */
  private boolean sendBlocked;

  /**
   * @param maxChanges changes that a transaction may hold
   * @param changesPerSecond what the state service allows all controllers together
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

  /** Whether no further list may be written now. */
  boolean isFull() {
    return pendingLists.size() >= MAX_PENDING_LISTS;
  }

  /** Calls with true once every part is durable, and with false when that can't be reached. */
  void write(DependenciesRecord list, Consumer<Boolean> then) {
    PendingList pending = pendingLists.computeIfAbsent(list.name(), name -> new PendingList(list));
    pending.requests.add(then);
    pending.expiresMs = scheduler.nowMs() + LIST_RETENTION_MS;
    writeNext();
  }

  /** The oldest list first, one transaction at a time. */
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
      // Some parts are stored already, or may yet become so: the replica shows which are missing.
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
