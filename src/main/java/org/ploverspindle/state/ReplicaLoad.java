package org.ploverspindle.state;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.StateStore.ChangedEntry;
import org.ploverspindle.state.StateStore.ChangesResult;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.PageResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One load of all keys into a replica, in pages and in key order. A request that is refused or not
 * answered is repeated, and the load goes on from there: pages that were read are not read again.
 *
 * <p>Pages have different revisions. The changes since the first page are therefore read too:
 * periodically, because the state service keeps a limited number of changes and the load may take
 * longer than these last, and once more at the end. When the load completes, the replica contains
 * everything as of the revision of that last read.
 */
final class ReplicaLoad {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaLoad.class);

  private static final int PAGE_SIZE = 500;
  private static final long CHANGES_INTERVAL_MS = 2_000;
  private static final long PROGRESS_LOG_INTERVAL_MS = 10_000;

  /** Receives the outcome of the load's requests, on the event loop. */
  interface Listener {
    /** A request was refused or not answered. It will be repeated. */
    void requestFailed();

    /**
     * The load is complete.
     *
     * @param revision the revision as of which the replica is complete
     * @param sentMs when the read that returned this revision was sent
     */
    void completed(long revision, long sentMs);
  }

  private final Scheduler scheduler;
  private final StateStore store;
  private final String prefix;
  private final ReplicaEntries entries;
  private final LoadPacing pacing;
  private final Listener listener;
  private final long startedMs;

  /** The last key that was read; empty before the first page. */
  private String lastKey = "";

  private boolean firstPageRead;
  private boolean allPagesRead;

  /** All changes up to this revision were read, for the keys up to {@link #lastKey}. */
  private long revision;

  private long changesReadMs;
  private long progressLoggedMs;
  private int pagesRead;
  private int failedRequests;

  ReplicaLoad(
      Scheduler scheduler,
      StateStore store,
      String prefix,
      ReplicaEntries entries,
      LoadPacing pacing,
      Listener listener) {
    this.scheduler = scheduler;
    this.store = store;
    this.prefix = prefix;
    this.entries = entries;
    this.pacing = pacing;
    this.listener = listener;
    this.startedMs = scheduler.nowMs();
    this.progressLoggedMs = startedMs;
  }

  /** Sends the next request as soon as the pacing allows it. */
  void sendNext() {
    logProgress();
    long waitMs = pacing.reserveRequest();
    if (waitMs > 0) {
      scheduler.schedule(waitMs, this::send);
    } else {
      send();
    }
  }

  private void send() {
    long sentMs = scheduler.nowMs();
    boolean changesDue = firstPageRead && sentMs - changesReadMs >= CHANGES_INTERVAL_MS;
    if (allPagesRead || changesDue) {
      store.readChanges(prefix, revision, result -> changesReceived(result, sentMs));
    } else {
      store.readPage(prefix, lastKey, PAGE_SIZE, result -> pageReceived(result, sentMs));
    }
  }

  private void pageReceived(PageResult result, long sentMs) {
    if (!(result instanceof PageResult.Page page)) {
      requestFailed();
      return;
    }
    pacing.succeeded();
    pagesRead++;
    if (!firstPageRead) {
      firstPageRead = true;
      revision = page.revision();
      changesReadMs = sentMs;
    }
    apply(page);
    sendNext();
  }

  private void apply(PageResult.Page page) {
    String previousLastKey = lastKey;
    Set<String> keys = new HashSet<>();
    for (Entry entry : page.entries()) {
      keys.add(entry.key());
      lastKey = entry.key();
      entries.apply(new ChangedEntry(entry.key(), Optional.of(entry.value()), entry.modRevision()));
    }
    allPagesRead = !page.hasNext() || page.entries().isEmpty();
    // The page shows which keys exist up to its last key, and the last page shows all later ones.
    entries.removeMissing(
        previousLastKey,
        allPagesRead ? Optional.empty() : Optional.of(lastKey),
        keys,
        page.revision());
  }

  private void changesReceived(ChangesResult result, long sentMs) {
    if (result instanceof ChangesResult.Changes changes) {
      pacing.succeeded();
      changes.changes().forEach(entries::apply);
      revision = Math.max(revision, changes.revision());
      changesReadMs = sentMs;
      if (allPagesRead) {
        complete(sentMs);
        return;
      }
    } else if (result instanceof ChangesResult.TooOld) {
      pacing.succeeded();
      restart();
    } else {
      requestFailed();
      return;
    }
    sendNext();
  }

  /**
   * Begins with the first page again: changes of keys that were read can no longer be read. This
   * happens only if no request was answered while more changes were made than the state service
   * keeps.
   */
  private void restart() {
    LOG.info("state load restarted, changes are no longer available: pages={}", pagesRead);
    lastKey = "";
    firstPageRead = false;
    allPagesRead = false;
  }

  private void requestFailed() {
    failedRequests++;
    pacing.failed();
    listener.requestFailed();
    sendNext();
  }

  private void complete(long sentMs) {
    LOG.info(
        "state load complete: pages={} failed_requests={} duration_ms={}",
        pagesRead,
        failedRequests,
        scheduler.nowMs() - startedMs);
    listener.completed(revision, sentMs);
  }

  private void logProgress() {
    if (scheduler.nowMs() - progressLoggedMs >= PROGRESS_LOG_INTERVAL_MS) {
      progressLoggedMs = scheduler.nowMs();
      LOG.info(
          "state load in progress: pages={} failed_requests={} last_key={}",
          pagesRead,
          failedRequests,
          lastKey);
    }
  }
}
