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
  private static final long CANCEL_LIMIT_MS = 2_000;

  private static final int OK = 200;

  private final Scheduler scheduler;
  private final LinearizableReads reads;
  private final JobStatusReader states;
  private final Cancellations cancellations;

  CancellationService(
      Scheduler scheduler,
      StateStore store,
      LinearizableReads reads,
      JobStatusReader states,
      TokenBucket writes,
      int txnOps,
      LeaderNotifier leaderHints) {
    this.scheduler = scheduler;
    this.reads = reads;
    this.states = states;
    this.cancellations =
        new Cancellations(scheduler, store, writes, txnOps, reads::barrier, new Hints(leaderHints));
  }

  /**
   * The leader hears of a cancellation when it is sent, so that it reads it by the time at which it
   * is confirmed, and once more when it is durable, as that read may have come too early. On the
   * leader itself the replica shows it before anybody is told.
   */
  private record Hints(LeaderNotifier leaderHints) implements Cancellations.Listener {
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
    } else if (states.isOver(uid)) {
      then.accept(over(uid));
    } else if (!reads.isLoaded()) {
      then.accept(JobStatusReader.notNow());
    } else {
      long cameMs = scheduler.nowMs();
      reads.barrier(fresh -> cancelAt(uid, fresh, 0, cameMs, then));
    }
  }

  private ApiResponse over(String uid) {
    return told(uid, states.isDone(uid) ? "done" : "aborted");
  }

  private static ApiResponse told(String uid, String status) {
    return ApiResponse.of(OK, Cbor.map().put("uid", uid).put("status", status));
  }

  private void cancelAt(
      String uid, boolean fresh, int tries, long cameMs, Consumer<ApiResponse> then) {
    if (states.isOver(uid)) {
      then.accept(over(uid));
    } else if (!fresh || tries > 0 && scheduler.nowMs() - cameMs > CANCEL_LIMIT_MS) {
      then.accept(JobStatusReader.notNow());
    } else if (!states.isKnown(uid)) {
      then.accept(QueryService.noSuchJob());
    } else {
      cancellations.write(
          uid,
          outcome -> {
            switch (outcome) {
              case STANDS -> then.accept(told(uid, "aborted"));
              case REFUSED -> then.accept(JobStatusReader.notNow());
              case UNCERTAIN -> reads.barrier(read -> cancelAt(uid, read, tries + 1, cameMs, then));
              case READ_BACK -> cancelAt(uid, true, tries + 1, cameMs, then);
            }
          });
    }
  }
}
