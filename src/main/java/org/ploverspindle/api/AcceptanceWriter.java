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
 * Stores accepted jobs, many in one transaction, and answers their users once they are durable. One
 * transaction is in flight at a time.
 */
final class AcceptanceWriter {
  private static final Logger LOG = LoggerFactory.getLogger(AcceptanceWriter.class);

  /** Age from which a submission is not written any more, as its user is about to give up. */
  static final long WRITE_DEADLINE_MS = 2_500;

  private static final int MAX_QUEUED = 200;

  /** Jobs that arrive within this time share a transaction. */
  private static final long BATCH_WINDOW_MS = 4;

  private static final long NO_BUDGET_RETRY_MS = 20;

  private final Scheduler scheduler;
  private final StateStore store;
  private final LinearizableReads reads;
  private final JobStatusReader statuses;
  private final DependencyCheck dependencies;
  private final AcceptanceBudget budget;
  private final String recordPrefix;
  private final LeaderNotifier leaderNotifier;
  private final AcceptanceBatch.Limits limits;

  /** Jobs whose write is not sent yet, the oldest first. */
  private final Deque<PendingAcceptance> queue = new ArrayDeque<>();

  /** All that are not answered yet, by job. */
  private final Map<String, PendingAcceptance> pending = new HashMap<>();

  private long recordCount;
  private boolean inFlight;
  private boolean flushScheduled;

  AcceptanceWriter(
      Scheduler scheduler,
      StateWrites writes,
      LinearizableReads reads,
      JobStatusReader statuses,
      DependencyCheck dependencies,
      AcceptanceBatch.Limits limits) {
    this.scheduler = scheduler;
    this.store = writes.store();
    this.reads = reads;
    this.statuses = statuses;
    this.dependencies = dependencies;
    this.budget = new AcceptanceBudget(scheduler, writes.budget());
    this.recordPrefix = writes.recordPrefix();
    this.leaderNotifier = writes.leaderNotifier();
    this.limits = limits;
  }

  /**
   * Stores the job and answers its user, or answers at once that the user is to ask again.
   *
   * @param guards jobs that the write requires not to be cancelled; see {@link DependencyCheck}
   */
  void accept(Submission submission, List<String> guards) {
    String uid = submission.spec().uid();
    PendingAcceptance same = pending.get(uid);
    if (same != null) {
      same.addRequest(submission.responder());
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
    PendingAcceptance acceptance = PendingAcceptance.of(submission, guards);
    pending.put(uid, acceptance);
    queue.add(acceptance);
    scheduleFlush(BATCH_WINDOW_MS);
  }

  private void scheduleFlush(long delayMs) {
    if (!flushScheduled && !inFlight) {
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
    if (inFlight) {
      return;
    }
    expireQueue();
    if (queue.isEmpty()) {
      return;
    }
    AcceptanceBudget.Grant grant = budget.grant(limits.maxChanges());
    if (grant.records() == 0) {
      scheduleFlush(NO_BUDGET_RETRY_MS);
      return;
    }
    AcceptanceBatch batch = new AcceptanceBatch(limits);
    batch.fill(queue, grant.records(), this::nextRecordKey);
    batch.acceptances().forEach(PendingAcceptance::markSent);
    inFlight = true;
    budget.recordWrite(grant, batch.changeCount());
    store.commit(batch.transaction(), result -> handleResult(batch.acceptances(), result));
  }

  private String nextRecordKey() {
    recordCount++;
    return Keys.jobBatch(recordPrefix + "-" + recordCount);
  }

  private void expireQueue() {
    while (!queue.isEmpty() && scheduler.nowMs() - queue.peek().receivedMs() > WRITE_DEADLINE_MS) {
      PendingAcceptance expired = queue.poll();
      pending.remove(expired.uid());
      expired.respondToAll(unavailable("the state service is busy", 2));
    }
  }

  private static ApiResponse unavailable(String message, int retryAfterS) {
    return ApiResponse.retryLater(StatusCodes.SERVICE_UNAVAILABLE, message, retryAfterS);
  }

  private void handleResult(List<PendingAcceptance> batch, TransactionResult result) {
    inFlight = false;
    if (result instanceof TransactionResult.Conflict) {
      reads.readBarrier(fresh -> batch.forEach(job -> handleConflict(job, fresh)));
      // Jobs that arrived meanwhile don't wait for that read: it may show that the whole batch is
      // terminal, and then nothing else would start their write.
      scheduleFlushOfRemaining();
      return;
    }
    batch.forEach(acceptance -> pending.remove(acceptance.uid()));
    if (result instanceof TransactionResult.Committed) {
      handleCommitted(batch);
    } else if (result instanceof TransactionResult.Refused refused) {
      handleRefused(batch, refused);
    } else {
      // The write may have been executed, or may yet be: only what is read back is reported.
      reads.readBarrier(
          fresh ->
              batch.forEach(job -> job.respondToAll(statuses.responseAfterRead(job.uid(), fresh))));
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
      acceptance.respond(accepted(acceptance.spec()));
      respondToLateRequests(acceptance);
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
          batch.stream().mapToInt(PendingAcceptance::bytes).sum());
    }
    budget.recordRefusal();
    batch.forEach(job -> job.respondToAll(unavailable("the state service refuses", 1)));
  }

  /** Jobs of the batch that are known by now are answered so; the others are written again. */
  private void handleConflict(PendingAcceptance acceptance, boolean fresh) {
    String uid = acceptance.uid();
    if (fresh && !statuses.isKnown(uid)) {
      PendingAcceptance retry = acceptance.retryWith(newGuards(acceptance));
      pending.put(uid, retry);
      queue.addFirst(retry);
      scheduleFlush(BATCH_WINDOW_MS);
    } else {
      pending.remove(uid);
      acceptance.respond(statuses.responseAfterRead(uid, fresh));
      respondToLateRequests(acceptance);
    }
  }

  /** Computed anew: a dependency may have been cancelled or done since. */
  private List<String> newGuards(PendingAcceptance acceptance) {
    return acceptance.guards().isEmpty()
        ? List.of()
        : dependencies.guards(acceptance.spec()).orElse(List.of());
  }

  /** By a read of their own, as some of them may have arrived after the last one was sent. */
  private void respondToLateRequests(PendingAcceptance acceptance) {
    if (acceptance.hasLateRequests()) {
      reads.readBarrier(
          fresh ->
              acceptance.respondToLateRequests(
                  statuses.responseAfterRead(acceptance.uid(), fresh)));
    }
  }
}
