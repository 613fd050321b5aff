package org.ploverspindle.api;

import java.util.List;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.TokenBucket;

/** Takes cancellations in, and confirms them when they are durable. */
final class CancellationService {
  /** One that shares its transaction with jobs that end meanwhile is tried again for so long. */
  private static final long RETRY_LIMIT_MS = 2_000;

  private static final int OK = 200;

  private final Scheduler scheduler;
  private final LinearizableReads reads;
  private final JobStatusReader statuses;
  private final CancellationWriter cancellations;

  CancellationService(
      Scheduler scheduler,
      StateStore store,
      LinearizableReads reads,
      JobStatusReader statuses,
      TokenBucket writes,
      int txnOps,
      LeaderNotifier leaderNotifier) {
    this.scheduler = scheduler;
    this.reads = reads;
    this.statuses = statuses;
    this.cancellations =
        new CancellationWriter(
            scheduler,
            store,
            writes,
            txnOps,
            reads::readBarrier,
            new ForwardToLeader(leaderNotifier));
  }

  /**
   * The leader hears of a cancellation when it is sent, so that it reads it by the time at which it
   * is confirmed, and once more when it is durable, as that read may have come too early. On the
   * leader itself the replica shows it before anybody is told.
   */
  private record ForwardToLeader(LeaderNotifier leaderHints)
      implements CancellationWriter.Listener {
    @Override
    public void sent() {
      leaderHints.cancelling();
    }

    @Override
    public void committed(List<Change.Put> cancellations, long ledger) {
      leaderHints.cancelled(cancellations, ledger);
    }
  }

  /** Cancels the job, unless it is over. */
  void cancel(String uid, Consumer<ApiResponse> then) {
    if (!SubmissionCodec.validUid(uid)) {
      then.accept(QueryService.noSuchJob());
    } else if (statuses.isTerminal(uid)) {
      then.accept(terminalResponse(uid));
    } else if (!reads.isLoaded()) {
      then.accept(JobStatusReader.stateUnavailable());
    } else {
      long receivedMs = scheduler.nowMs();
      reads.readBarrier(fresh -> cancelAfterRead(uid, fresh, 0, receivedMs, then));
    }
  }

  private ApiResponse terminalResponse(String uid) {
    return response(uid, statuses.isDone(uid) ? "done" : "aborted");
  }

  private static ApiResponse response(String uid, String status) {
    return ApiResponse.of(OK, Cbor.map().put("uid", uid).put("status", status));
  }

  private void cancelAfterRead(
      String uid, boolean fresh, int attempts, long receivedMs, Consumer<ApiResponse> then) {
    if (statuses.isTerminal(uid)) {
      then.accept(terminalResponse(uid));
    } else if (!fresh || attempts > 0 && scheduler.nowMs() - receivedMs > RETRY_LIMIT_MS) {
      then.accept(JobStatusReader.stateUnavailable());
    } else if (!statuses.isKnown(uid)) {
      then.accept(QueryService.noSuchJob());
    } else {
      cancellations.write(
          uid,
          outcome -> {
            switch (outcome) {
              case DURABLE -> then.accept(response(uid, "aborted"));
              case REFUSED -> then.accept(JobStatusReader.stateUnavailable());
              case UNCERTAIN ->
                  reads.readBarrier(
                      read -> cancelAfterRead(uid, read, attempts + 1, receivedMs, then));
              case READ_BACK -> cancelAfterRead(uid, true, attempts + 1, receivedMs, then);
            }
          });
    }
  }
}
