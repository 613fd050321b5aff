package org.ploverspindle.api;

import io.undertow.util.StatusCodes;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.state.DependenciesRecord;

/** Accepts jobs that depend on others: checks what they name, and stores long lists first. */
final class DependentSubmissions {
  /**
   * Age at which the user of a submission is answered although its list is not stored yet. The list
   * is still completed, for the user's repeated request.
   */
  private static final long LIST_DEADLINE_MS = 3_500;

  /** Least time that is left for the job itself once its list is stored. */
  private static final long AFTER_LIST_MS = 1_000;

  private static final int QUEUE_FULL_RETRY_S = 3;

  private final Scheduler scheduler;
  private final LinearizableReads reads;
  private final JobStatusReader statuses;
  private final DependencyCheck dependencies;
  private final DependencyListWriter lists;
  private final AcceptanceWriter writer;

  DependentSubmissions(
      Scheduler scheduler,
      LinearizableReads reads,
      JobStatusReader statuses,
      DependencyCheck dependencies,
      DependencyListWriter lists,
      AcceptanceWriter writer) {
    this.scheduler = scheduler;
    this.reads = reads;
    this.statuses = statuses;
    this.dependencies = dependencies;
    this.lists = lists;
    this.writer = writer;
  }

  /**
   * Accepts the job or answers why not.
   *
   * <p>A dependency that was accepted stays so, hence the replica need not be new to check it. What
   * the replica may not show is that this very job was accepted elsewhere and reported as aborted
   * since. Either the write's conditions exclude that, or the replica is read first.
   */
  void accept(Submission submission) {
    Optional<List<String>> guards = dependencies.guards(submission.spec());
    if (guards.isPresent() && submission.dependencyList().isEmpty()) {
      writer.accept(submission, guards.get());
    } else {
      reads.readBarrier(fresh -> acceptAfterRead(submission, fresh));
    }
  }

  private void acceptAfterRead(Submission submission, boolean fresh) {
    JobSpec spec = submission.spec();
    if (!fresh) {
      submission.responder().accept(ApiResponse.stateUnavailable());
      return;
    }
    Optional<ApiResponse> response =
        statuses
            .response(spec.uid())
            .or(() -> dependencies.invalidDependency(spec).map(DependentSubmissions::refusal));
    if (response.isPresent()) {
      submission.responder().accept(response.get());
    } else if (submission.dependencyList().isPresent()) {
      storeList(submission, submission.dependencyList().get());
    } else {
      writer.accept(submission, dependencies.guards(spec).orElse(List.of()));
    }
  }

  private static ApiResponse refusal(String reason) {
    return ApiResponse.error(StatusCodes.UNPROCESSABLE_ENTITY, reason);
  }

  private void storeList(Submission submission, DependenciesRecord list) {
    if (lists.isFull()) {
      submission
          .responder()
          .accept(
              ApiResponse.retryLater(
                  StatusCodes.TOO_MANY_REQUESTS,
                  "too many long lists at once",
                  QUEUE_FULL_RETRY_S));
      return;
    }
    Consumer<Boolean> first = new SingleUse<>(stored -> acceptAfterList(submission, stored));
    long remainingMs = submission.receivedMs() + LIST_DEADLINE_MS - scheduler.nowMs();
    scheduler.schedule(Math.max(0, remainingMs), () -> first.accept(false));
    lists.write(list, first);
  }

  private void acceptAfterList(Submission submission, boolean stored) {
    if (!stored) {
      submission
          .responder()
          .accept(
              ApiResponse.retryLater(
                  StatusCodes.SERVICE_UNAVAILABLE, "the list of jobs is not stored yet", 1));
      return;
    }
    // Submissions that were received before this time would be past the writer's deadline.
    long latestMs = scheduler.nowMs() - AcceptanceWriter.WRITE_DEADLINE_MS + AFTER_LIST_MS;
    writer.accept(
        submission.withReceivedMs(Math.max(latestMs, submission.receivedMs())), List.of());
  }
}
