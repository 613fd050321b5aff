package org.ploverspindle.state;

import java.util.ArrayDeque;
import java.util.Deque;
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
 * One load of all keys into a replica, in pages. A request that is refused or not answered is
 * repeated, and the load goes on from there: pages that were read are not read again.
 *
 * <p>The records of accepted jobs are read after all other keys. When they are read, it is known
 * which jobs have ended and which jobs the recorded progress mentions, as of one revision, so most
 * records need not be kept, not even until the end of the load.
 *
 * <p>Pages have different revisions. The changes since the first page are therefore read too:
 * periodically, because the state service keeps a limited number of changes and the load may take
 * longer than these last, and once more at the end. When the load completes, the replica contains
 * everything as of the revision of that last read.
 */
final class ReplicaLoad {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaLoad.class);

  /** The largest page that the state service returns, so that a load takes few requests. */
  private static final int PAGE_SIZE = 1_000;

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

  /** The prefixes of the job records that are not read yet. */
  private final Deque<String> remainingPrefixes = new ArrayDeque<>();

  /** The prefix of the keys that are being read. */
  private String currentPrefix;

  /** The keys with the current prefix up to this one are read; empty if none is. */
  private String lastKey;

  private boolean firstPageRead;
  private boolean loadingJobRecords;
  private boolean allPagesRead;
  private boolean repeated;

  /** Whether changes must be read before further pages, or before the load is complete. */
  private boolean changesRequired;

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
    begin();
  }

  private void begin() {
    remainingPrefixes.clear();
    remainingPrefixes.addAll(Keys.JOB_RECORDS);
    currentPrefix = prefix;
    lastKey = Keys.AFTER_JOB_BATCHES;
    firstPageRead = false;
    loadingJobRecords = false;
    allPagesRead = false;
    repeated = false;
    changesRequired = false;
  }

  /**
   * Returns whether the load has reached the records of accepted jobs, and so has read all other
   * keys as of one revision.
   */
  boolean isLoadingJobRecords() {
    return loadingJobRecords;
  }

  /** Has the load begin anew when it would be complete. */
  void repeat() {
    repeated = true;
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
    if (changesRequired || changesDue) {
      store.readChanges(prefix, revision, result -> changesReceived(result, sentMs));
    } else {
      store.readPage(currentPrefix, lastKey, PAGE_SIZE, result -> pageReceived(result, sentMs));
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
      lastKey = entry.key();
      if (loadingJobRecords || !Keys.isAcceptance(lastKey)) {
        keys.add(lastKey);
        entries.apply(new ChangedEntry(lastKey, Optional.of(entry.value()), entry.modRevision()));
      }
    }
    boolean prefixRead = !page.hasNext() || page.entries().isEmpty();
    // The page shows which keys exist up to its last key, and the last page shows all later ones.
    entries.removeMissing(
        currentPrefix,
        previousLastKey,
        prefixRead ? Optional.empty() : Optional.of(lastKey),
        keys,
        page.revision());
    if (loadingJobRecords) {
      entries.jobRecordsLoaded();
    }
    if (prefixRead) {
      continueWithNextPrefix();
    } else if (!loadingJobRecords && lastKey.startsWith(Keys.JOBS)) {
      lastKey = Keys.after(Keys.JOBS);
    }
  }

  private void continueWithNextPrefix() {
    // Between the two parts of the load, all keys that were read are brought to one revision.
    changesRequired = !loadingJobRecords || remainingPrefixes.isEmpty();
    allPagesRead = remainingPrefixes.isEmpty();
    if (!allPagesRead) {
      currentPrefix = remainingPrefixes.remove();
      lastKey = "";
    }
  }

  private void changesReceived(ChangesResult result, long sentMs) {
    if (result instanceof ChangesResult.Changes changes) {
      pacing.succeeded();
      changes.changes().forEach(entries::apply);
      revision = Math.max(revision, changes.revision());
      changesReadMs = sentMs;
      changesRequired = false;
      loadingJobRecords |= !currentPrefix.equals(prefix);
      if (allPagesRead && !repeated) {
        complete(sentMs);
        return;
      }
      if (allPagesRead) {
        LOG.info("state load repeated, a job has records with different dependencies");
        begin();
      }
    } else if (result instanceof ChangesResult.TooOld) {
      // Changes of keys that were read can no longer be read. This happens only if no request was
      // answered while more changes were made than the state service keeps.
      pacing.succeeded();
      LOG.info("state load restarted, changes are no longer available: pages={}", pagesRead);
      begin();
    } else {
      requestFailed();
      return;
    }
    sendNext();
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
