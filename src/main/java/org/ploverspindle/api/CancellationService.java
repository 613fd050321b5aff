package org.ploverspindle.api;

import io.undertow.util.StatusCodes;
import java.util.List;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.StateStore.Change;

/** Cancels jobs and confirms each cancellation once it is durable. */
final class CancellationService {
  /** Age above which an undecided request is no longer retried, as its user is about to give up. */
  private static final long MAX_AGE_AT_RETRY_MS = 2_000;

  private final Scheduler scheduler;
  private final LinearizableReads reads;
  private final JobStatusReader statuses;
  private final CancellationWriter writer;

  /**
   * @param maxChanges largest number of changes in a transaction
   */
  CancellationService(
      Scheduler scheduler,
      StateWriteAccess writes,
      LinearizableReads reads,
      JobStatusReader statuses,
      int maxChanges) {
    this.scheduler = scheduler;
    this.reads = reads;
    this.statuses = statuses;
    this.writer =
        new CancellationWriter(
            scheduler,
            writes.store(),
            writes.budget(),
            maxChanges,
            reads::readBarrier,
            new LeaderNotifyingListener(writes.leaderNotifier()));
  }

  /**
   * Notifies the leader when a cancellation is sent, so that the leader has read it by the time the
   * user gets the confirmation, and again when the cancellation is durable, as the first read may
   * have been too early. If this controller leads, its own replica shows the cancellation before
   * any user gets a response.
   */
  private record LeaderNotifyingListener(LeaderNotifier leaderNotifier)
      implements CancellationWriter.Listener {
    @Override
    public void transactionSent() {
      leaderNotifier.cancellationSent();
    }

    @Override
    public void cancellationsCommitted(List<Change.Put> cancellations, long revision) {
      leaderNotifier.cancellationsCommitted(cancellations, revision);
    }
  }

  /** Cancels the job unless it is done or aborted, and responds with its status. */
  void cancel(String uid, Consumer<ApiResponse> responder) {
    if (!SubmissionCodec.isValidUid(uid)) {
      responder.accept(ApiResponse.noSuchJob());
    } else if (statuses.isTerminal(uid)) {
      responder.accept(terminalResponse(uid));
    } else if (!reads.isLoaded()) {
      responder.accept(ApiResponse.stateUnavailable());
    } else {
      Request request = new Request(uid, scheduler.nowMs(), responder);
      reads.readBarrier(fresh -> cancelAfterRead(request, fresh, 0));
    }
  }

  private record Request(String uid, long receivedMs, Consumer<ApiResponse> responder) {}

  private ApiResponse terminalResponse(String uid) {
    return response(uid, statuses.isDone(uid) ? JobStatus.DONE : JobStatus.ABORTED);
  }

  private static ApiResponse response(String uid, JobStatus status) {
    return ApiResponse.of(StatusCodes.OK, ResponseCodec.encodeStatus(uid, status));
  }

  private void cancelAfterRead(Request request, boolean fresh, int writeCount) {
    String uid = request.uid();
    boolean expired =
        writeCount > 0 && scheduler.nowMs() - request.receivedMs() > MAX_AGE_AT_RETRY_MS;
    if (statuses.isTerminal(uid)) {
      request.responder().accept(terminalResponse(uid));
    } else if (!fresh || expired) {
      request.responder().accept(ApiResponse.stateUnavailable());
    } else if (!statuses.isKnown(uid)) {
      request.responder().accept(ApiResponse.noSuchJob());
    } else {
      writer.write(uid, outcome -> handleOutcome(request, outcome, writeCount + 1));
    }
  }

  private void handleOutcome(Request request, CancellationWriter.Outcome outcome, int writeCount) {
    switch (outcome) {
      case DURABLE -> request.responder().accept(response(request.uid(), JobStatus.ABORTED));
      case REFUSED -> request.responder().accept(ApiResponse.stateUnavailable());
      case UNCERTAIN -> reads.readBarrier(fresh -> cancelAfterRead(request, fresh, writeCount));
      case READ_BACK -> cancelAfterRead(request, true, writeCount);
    }
  }
}
