package org.ploverspindle.api;

import io.undertow.util.StatusCodes;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.state.DependenciesRecord;

/**
 * Accepts jobs with dependencies: checks the dependencies, and stores a list that doesn't fit into
 * the job's record before the job.
 */
final class DependentSubmissions {
  /**
   * Age at which a submission gets a response even if its list of dependencies is not stored yet.
   * The list is still completed, for the user's repeated request.
   */
  private static final long LIST_TIMEOUT_MS = 3_500;

  /**
   * Age at which a submission with a separate list gets a response in any case, as its user waits
   * for 5 s. A job that is accepted later is found by the user's repeated request.
   */
  private static final long RESPONSE_TIMEOUT_MS = 4_500;

  /** Minimum time that is left to write the job itself once its list is stored. */
  private static final long MIN_TIME_AFTER_LIST_MS = 1_000;

  private static final int QUEUE_FULL_RETRY_S = 3;

  private final Scheduler scheduler;
  private final LinearizableReads reads;
  private final JobStatusReader statuses;
  private final DependencyCheck dependencyCheck;
  private final DependencyListWriter listWriter;
  private final AcceptanceWriter acceptanceWriter;

  DependentSubmissions(
      Scheduler scheduler,
      LinearizableReads reads,
      JobStatusReader statuses,
      DependencyCheck dependencyCheck,
      DependencyListWriter listWriter,
      AcceptanceWriter acceptanceWriter) {
    this.scheduler = scheduler;
    this.reads = reads;
    this.statuses = statuses;
    this.dependencyCheck = dependencyCheck;
    this.listWriter = listWriter;
    this.acceptanceWriter = acceptanceWriter;
  }

  /**
   * Accepts the job, or responds with the reason why it is not accepted.
   *
   * <p>An accepted job stays accepted, so an outdated replica suffices to check that a dependency
   * exists. But an outdated replica may not show that another controller accepted this same job and
   * has since reported it as aborted. Either the conditions of the write exclude that, or the
   * replica is read first.
   */
  void accept(Submission submission) {
    Optional<List<String>> guardedDependencies =
        dependencyCheck.guardedDependencies(submission.spec());
    if (guardedDependencies.isPresent() && submission.dependencyList().isEmpty()) {
      acceptanceWriter.accept(submission, guardedDependencies.get());
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
            .or(() -> dependencyCheck.dependencyError(spec).map(DependentSubmissions::refusal));
    if (response.isPresent()) {
      submission.responder().accept(response.get());
    } else if (submission.dependencyList().isPresent()) {
      storeList(submission, submission.dependencyList().get());
    } else {
      acceptanceWriter.accept(
          submission, dependencyCheck.guardedDependencies(spec).orElse(List.of()));
    }
  }

  private static ApiResponse refusal(String reason) {
    return ApiResponse.error(StatusCodes.UNPROCESSABLE_ENTITY, reason);
  }

  private void storeList(Submission submission, DependenciesRecord list) {
    if (listWriter.isFull()) {
      submission
          .responder()
          .accept(
              ApiResponse.retryLater(
                  StatusCodes.TOO_MANY_REQUESTS,
                  "too many long lists at once",
                  QUEUE_FULL_RETRY_S));
      return;
    }
    Submission timed = withResponseTimeout(submission);
    Consumer<Boolean> firstResult =
        new FirstValueConsumer<>(stored -> acceptAfterList(timed, stored));
    long remainingMs = submission.receivedMs() + LIST_TIMEOUT_MS - scheduler.nowMs();
    scheduler.schedule(Math.max(0, remainingMs), () -> firstResult.accept(false));
    listWriter.write(list, firstResult);
  }

  private Submission withResponseTimeout(Submission submission) {
    Consumer<ApiResponse> firstResponse = new FirstValueConsumer<>(submission.responder());
    long remainingMs = submission.receivedMs() + RESPONSE_TIMEOUT_MS - scheduler.nowMs();
    scheduler.schedule(
        Math.max(0, remainingMs), () -> firstResponse.accept(ApiResponse.stateUnavailable()));
    return submission.withResponder(firstResponse);
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
    // A submission that was received before this time would have less than MIN_TIME_AFTER_LIST_MS
    // left until the writer drops it as too old.
    long earliestReceivedMs =
        scheduler.nowMs() - AcceptanceWriter.MAX_AGE_AT_WRITE_MS + MIN_TIME_AFTER_LIST_MS;
    acceptanceWriter.accept(
        submission.withReceivedMs(Math.max(earliestReceivedMs, submission.receivedMs())),
        List.of());
  }
}
