package org.ploverspindle.api;

import io.undertow.util.StatusCodes;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores accepted jobs, many in one transaction, and responds to their users once the jobs are
 * durable. At most one transaction is in flight at a time.
 */
final class AcceptanceWriter {
  private static final Logger LOG = LoggerFactory.getLogger(AcceptanceWriter.class);

  /** Age above which a submission is no longer written, as its user is about to give up. */
  static final long MAX_AGE_AT_WRITE_MS = 2_500;

  private static final int MAX_QUEUED = 200;

  /**
   * Delay before a transaction is sent, so that jobs that arrive during it share the transaction.
   */
  private static final long BATCH_WINDOW_MS = 4;

  /** Delay after which a write is tried again when the budget permits none. */
  private static final long NO_BUDGET_RETRY_MS = 20;

  private final Scheduler scheduler;
  private final StateStore store;
  private final LinearizableReads reads;
  private final JobStatusReader statuses;
  private final DependencyCheck dependencyCheck;
  private final AcceptanceBudget budget;
  private final String recordNamePrefix;
  private final LeaderNotifier leaderNotifier;
  private final AcceptanceBatch.Limits limits;

  /** Jobs whose write has not been sent, oldest first. */
  private final Deque<PendingAcceptance> queue = new ArrayDeque<>();

  /**
   * Jobs that are queued, in flight, or being read back after a conflict, by uid. A repeated
   * submission is added to the entry of its job.
   */
  private final Map<String, PendingAcceptance> pendingByUid = new HashMap<>();

  private long recordCount;
  private boolean transactionInFlight;
  private boolean flushScheduled;

  AcceptanceWriter(
      Scheduler scheduler,
      StateWriteAccess writes,
      LinearizableReads reads,
      JobStatusReader statuses,
      DependencyCheck dependencyCheck,
      AcceptanceBatch.Limits limits) {
    this.scheduler = scheduler;
    this.store = writes.store();
    this.reads = reads;
    this.statuses = statuses;
    this.dependencyCheck = dependencyCheck;
    this.budget = new AcceptanceBudget(scheduler, writes.budget());
    this.recordNamePrefix = writes.recordNamePrefix();
    this.leaderNotifier = writes.leaderNotifier();
    this.limits = limits;
  }

  /**
   * Stores the job and responds to its user once it is durable, or responds at once that the user
   * must retry because too many jobs are queued.
   *
   * @param guardedDependencies dependencies that must not be cancelled for the write to be
   *     executed; see {@link DependencyCheck#guardedDependencies}
   */
  void accept(Submission submission, List<String> guardedDependencies) {
    String uid = submission.spec().uid();
    PendingAcceptance existing = pendingByUid.get(uid);
    if (existing != null) {
      existing.addRequest(submission.responder());
      return;
    }
    if (queue.size() >= MAX_QUEUED) {
      submission
          .responder()
          .accept(
              ApiResponse.retryLater(
                  StatusCodes.TOO_MANY_REQUESTS, "too many submissions at once", 2));
      return;
    }
    PendingAcceptance acceptance = PendingAcceptance.of(submission, guardedDependencies);
    pendingByUid.put(uid, acceptance);
    queue.add(acceptance);
    scheduleFlush(BATCH_WINDOW_MS);
  }

  private void scheduleFlush(long delayMs) {
    if (!flushScheduled && !transactionInFlight) {
      flushScheduled = true;
      scheduler.schedule(
          delayMs,
          () -> {
            flushScheduled = false;
            flush();
          });
    }
  }

  private void scheduleFlushOfRemaining() {
    if (!queue.isEmpty()) {
      scheduleFlush(BATCH_WINDOW_MS);
    }
  }

  private void flush() {
    if (transactionInFlight) {
      return;
    }
    expireQueue();
    if (queue.isEmpty()) {
      return;
    }
    AcceptanceBudget.Grant grant = budget.grant(limits.maxChanges());
    if (grant.maxRecords() == 0) {
      scheduleFlush(NO_BUDGET_RETRY_MS);
      return;
    }
    AcceptanceBatch batch = new AcceptanceBatch(limits);
    batch.fill(queue, grant.maxRecords(), this::nextRecordKey);
    batch.acceptances().forEach(PendingAcceptance::markSent);
    transactionInFlight = true;
    budget.recordWrite(grant, batch.changeCount());
    store.commit(batch.transaction(), result -> handleResult(batch.acceptances(), result));
  }

  private String nextRecordKey() {
    recordCount++;
    return Keys.jobBatch(recordNamePrefix + "-" + recordCount);
  }

  private void expireQueue() {
    while (!queue.isEmpty()
        && scheduler.nowMs() - queue.peek().receivedMs() > MAX_AGE_AT_WRITE_MS) {
      PendingAcceptance expired = queue.poll();
      pendingByUid.remove(expired.uid());
      expired.respondToAll(unavailable("the state service is busy", 2));
    }
  }

  private static ApiResponse unavailable(String message, int retryAfterS) {
    return ApiResponse.retryLater(StatusCodes.SERVICE_UNAVAILABLE, message, retryAfterS);
  }

  private void handleResult(List<PendingAcceptance> batch, TransactionResult result) {
    transactionInFlight = false;
    if (result instanceof TransactionResult.Conflict) {
      reads.readBarrier(fresh -> batch.forEach(acceptance -> handleConflict(acceptance, fresh)));
      // Jobs that arrived meanwhile are written without waiting for that read: if it shows that
      // every job of the batch is accepted already, nothing else would start their write.
      scheduleFlushOfRemaining();
      return;
    }
    batch.forEach(acceptance -> pendingByUid.remove(acceptance.uid()));
    if (result instanceof TransactionResult.Committed) {
      handleCommitted(batch);
    } else if (result instanceof TransactionResult.Refused refused) {
      handleRefused(batch, refused);
    } else {
      // The write may have been executed or may still be executed, so the response is the state
      // that a later read shows.
      reads.readBarrier(
          fresh ->
              batch.forEach(
                  acceptance ->
                      acceptance.respondToAll(
                          statuses.responseAfterRead(acceptance.uid(), fresh))));
    }
    scheduleFlushOfRemaining();
  }

  private void handleCommitted(List<PendingAcceptance> batch) {
    LOG.debug(
        "jobs accepted: count={} first_job={} first_latency_ms={}",
        batch.size(),
        batch.get(0).uid(),
        scheduler.nowMs() - batch.get(0).receivedMs());
    for (PendingAcceptance acceptance : batch) {
      acceptance.respondToCovered(accepted(acceptance.spec()));
      respondToUncoveredRequests(acceptance);
    }
    leaderNotifier.jobsAccepted();
  }

  private ApiResponse accepted(JobSpec spec) {
    boolean aborted = spec.dependencies().stream().anyMatch(statuses::isAborted);
    JobStatus status = aborted ? JobStatus.ABORTED : JobStatus.QUEUED;
    return ApiResponse.of(StatusCodes.CREATED, ResponseCodec.encodeStatus(spec.uid(), status));
  }

  private void handleRefused(List<PendingAcceptance> batch, TransactionResult.Refused refused) {
    if (refused.status() == StatusCodes.BAD_REQUEST) {
      LOG.error(
          "job acceptance rejected by the state service: jobs={} bytes={}",
          batch.size(),
          batch.stream().mapToInt(PendingAcceptance::storedBytes).sum());
    }
    budget.recordRefusal();
    batch.forEach(
        acceptance -> acceptance.respondToAll(unavailable("the state service refuses", 1)));
  }

  /**
   * Handles one job of a transaction whose conditions failed. If a fresh replica does not show the
   * job as accepted, the job is written again; otherwise its users get the state that the replica
   * shows, or an error if the replica could not be read.
   */
  private void handleConflict(PendingAcceptance acceptance, boolean fresh) {
    String uid = acceptance.uid();
    if (fresh && !statuses.isKnown(uid)) {
      PendingAcceptance retry = acceptance.retryWith(currentGuardedDependencies(acceptance));
      pendingByUid.put(uid, retry);
      queue.addFirst(retry);
      scheduleFlush(BATCH_WINDOW_MS);
    } else {
      pendingByUid.remove(uid);
      acceptance.respondToCovered(statuses.responseAfterRead(uid, fresh));
      respondToUncoveredRequests(acceptance);
    }
  }

  /**
   * Returns the guarded dependencies for a further write of the job. They are computed anew, as a
   * dependency may have been cancelled or done since the previous write.
   */
  private List<String> currentGuardedDependencies(PendingAcceptance acceptance) {
    return acceptance.guardedDependencies().isEmpty()
        ? List.of()
        : dependencyCheck.guardedDependencies(acceptance.spec()).orElse(List.of());
  }

  /**
   * Responds to the uncovered requests after a separate read, as some of them may have arrived
   * after the previous read was sent.
   */
  private void respondToUncoveredRequests(PendingAcceptance acceptance) {
    if (acceptance.hasUncoveredRequests()) {
      reads.readBarrier(
          fresh ->
              acceptance.respondToUncovered(statuses.responseAfterRead(acceptance.uid(), fresh)));
    }
  }
}
