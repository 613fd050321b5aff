package org.ploverspindle.api;

import io.undertow.util.StatusCodes;
import java.util.List;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.state.StateStore.Change;

/** Cancels jobs, and confirms that once it is durable. */
final class CancellationService {
  /** Age from which an undecided request is no longer retried, as its user is about to give up. */
  private static final long RETRY_LIMIT_MS = 2_000;

  private final Scheduler scheduler;
  private final LinearizableReads reads;
  private final JobStatusReader statuses;
  private final CancellationWriter writer;

  /**
   * @param maxChanges changes that a transaction may hold
   */
  CancellationService(
      Scheduler scheduler,
      StateWrites writes,
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
            new ForwardToLeader(writes.leaderNotifier()));
  }

  /**
   * The leader is notified when a cancellation is sent, so that it has read it by the time at which
   * it is confirmed, and again when it is durable, as that read may have been too early. On the
   * leader itself the replica shows the cancellation before any user gets a response.
   */
  private record ForwardToLeader(LeaderNotifier leaderNotifier)
      implements CancellationWriter.Listener {
    @Override
    public void sent() {
      leaderNotifier.cancellationSent();
    }

    @Override
    public void committed(List<Change.Put> cancellations, long revision) {
      leaderNotifier.cancellationsCommitted(cancellations, revision);
    }
  }

  /** Cancels the job, unless it is terminal. Answers with its status. */
  void cancel(String uid, Consumer<ApiResponse> then) {
    if (!SubmissionCodec.isValidUid(uid)) {
      then.accept(ApiResponse.noSuchJob());
    } else if (statuses.isTerminal(uid)) {
      then.accept(terminalResponse(uid));
    } else if (!reads.isLoaded()) {
      then.accept(ApiResponse.stateUnavailable());
    } else {
      Request request = new Request(uid, scheduler.nowMs(), then);
      reads.readBarrier(fresh -> cancelAfterRead(request, fresh, 0));
    }
  }

  private record Request(String uid, long receivedMs, Consumer<ApiResponse> then) {}

  private ApiResponse terminalResponse(String uid) {
    return response(uid, statuses.isDone(uid) ? JobStatus.DONE : JobStatus.ABORTED);
  }

  private static ApiResponse response(String uid, JobStatus status) {
    return ApiResponse.of(StatusCodes.OK, ResponseCodec.encodeStatus(uid, status));
  }

  private void cancelAfterRead(Request request, boolean fresh, int attempts) {
    String uid = request.uid();
    boolean expired = attempts > 0 && scheduler.nowMs() - request.receivedMs() > RETRY_LIMIT_MS;
    if (statuses.isTerminal(uid)) {
      request.then().accept(terminalResponse(uid));
    } else if (!fresh || expired) {
      request.then().accept(ApiResponse.stateUnavailable());
    } else if (!statuses.isKnown(uid)) {
      request.then().accept(ApiResponse.noSuchJob());
    } else {
      writer.write(uid, outcome -> handleOutcome(request, outcome, attempts + 1));
    }
  }

  private void handleOutcome(Request request, CancellationWriter.Outcome outcome, int attempts) {
    switch (outcome) {
      case DURABLE -> request.then().accept(response(request.uid(), JobStatus.ABORTED));
      case REFUSED -> request.then().accept(ApiResponse.stateUnavailable());
      case UNCERTAIN -> reads.readBarrier(fresh -> cancelAfterRead(request, fresh, attempts));
      case READ_BACK -> cancelAfterRead(request, true, attempts);
    }
  }
}
