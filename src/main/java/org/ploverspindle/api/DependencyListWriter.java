package org.ploverspindle.api;

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
 * <p>Parts are named by the whole list's content and written only where they are absent. So a part
 * that stands is the right one whoever wrote it, also late, and a list that was begun is gone on
 * with, here after its user was sent away, and elsewhere when the user's repeat comes there.
 */
final class DependencyListWriter {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyListWriter.class);
  private static final int MOST_BYTES = 56 * 1024;
  private static final int MOST_LISTS = 20;

  /** A part's key stands in its change and in its condition. */
  private static final int FRAME_BYTES = 250;

  /** So long after its last request users no longer repeat it. */
  private static final long KEEPS_ON_MS = 60_000;

  private static final long AGAIN_MS = 700;

  /** Of all nodes' changes; the rest is for the leader's work meanwhile. */
  private static final double SHARE = 0.4;

  private static final class PendingList {
    private final DependenciesRecord list;
    private final BitSet standing = new BitSet();
    private final List<Consumer<Boolean>> askers = new ArrayList<>();
    private long untilMs;

    private PendingList(DependenciesRecord list) {
      this.list = list;
    }
  }

  private final Scheduler scheduler;
  private final StateStore store;
  private final Replica replica;
  private final int txnOps;
  private final double perPartMs;
  private final Map<String, PendingList> uploads = new LinkedHashMap<>();
  private boolean busy;

  DependencyListWriter(
      Scheduler scheduler, StateStore store, Replica replica, int txnOps, double writeRps) {
    this.scheduler = scheduler;
    this.store = store;
    this.replica = replica;
    this.txnOps = txnOps;
    this.perPartMs = 1000 / (writeRps * SHARE);
  }

  boolean isFull() {
    return uploads.size() >= MOST_LISTS;
  }

  /** Calls with true once every part stands, and with false when that can't be reached. */
  void write(DependenciesRecord list, Consumer<Boolean> then) {
    PendingList upload = uploads.computeIfAbsent(list.name(), n -> new PendingList(list));
    upload.askers.add(then);
    upload.untilMs = scheduler.nowMs() + KEEPS_ON_MS;
    step();
  }

  /** The oldest list first, one transaction at a time. */
  private void step() {
    while (!busy && !uploads.isEmpty()) {
      PendingList upload = uploads.values().iterator().next();
      List<Integer> missing = missing(upload);
      if (missing.isEmpty()) {
        end(upload, true);
      } else if (scheduler.nowMs() > upload.untilMs) {
        end(upload, false);
      } else {
        send(upload, missing);
      }
    }
  }

  private List<Integer> missing(PendingList upload) {
    List<Integer> missing = new ArrayList<>();
    for (int i = 0; i < upload.list.parts().size(); i++) {
      if (!upload.standing.get(i) && replica.get(upload.list.key(i)).isEmpty()) {
        missing.add(i);
      }
    }
    return missing;
  }

  private void end(PendingList upload, boolean stands) {
    uploads.remove(upload.list.name());
    upload.askers.forEach(a -> a.accept(stands));
  }

  private void send(PendingList upload, List<Integer> missing) {
    List<Condition> conditions = new ArrayList<>();
    List<Change> changes = new ArrayList<>();
    List<Integer> sent = new ArrayList<>();
    int bytes = 200;
    for (int part : missing) {
      int size = Cbor.jsonSize(upload.list.parts().get(part)) + FRAME_BYTES;
      if (changes.size() >= txnOps || !changes.isEmpty() && bytes + size > MOST_BYTES) {
        break;
      }
      conditions.add(new Condition(upload.list.key(part), 0));
      changes.add(new Change.Put(upload.list.key(part), upload.list.parts().get(part)));
      sent.add(part);
      bytes += size;
    }
    busy = true;
    long nextMs = scheduler.nowMs() + Math.round(sent.size() * perPartMs);
    store.commit(
        new StateStore.Transaction(conditions, changes), r -> answered(upload, sent, nextMs, r));
  }

  private void answered(
      PendingList upload, List<Integer> sent, long nextMs, TransactionResult result) {
    if (result instanceof TransactionResult.Committed) {
      sent.forEach(upload.standing::set);
      boolean last = missing(upload).isEmpty();
      goOnIn(last ? 0 : nextMs - scheduler.nowMs());
    } else if (result instanceof TransactionResult.Refused refused) {
      if (refused.status() == 400) {
        LOG.error("a part of {}'s list of jobs is refused for good", upload.list.name());
        end(upload, false);
      }
      goOnIn(AGAIN_MS);
    } else {
      // Some stand already, or may yet come to stand: what is read says which are missing.
      replica.readBarrier(ok -> goOnIn(ok ? nextMs - scheduler.nowMs() : AGAIN_MS));
    }
  }

  private void goOnIn(long ms) {
    if (ms <= 0) {
      busy = false;
      step();
    } else {
      scheduler.schedule(ms, () -> goOnIn(0));
    }
  }
}
