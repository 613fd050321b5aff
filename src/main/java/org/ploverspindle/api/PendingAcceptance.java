package org.ploverspindle.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.ploverspindle.model.JobSpec;

/**
 * A job whose acceptance is not durable yet, with all requests that wait for it here.
 *
 * <p>Requests that arrived before the write was sent are answered by its result. The write's
 * conditions don't cover the time after it was sent: the job may have been accepted and reported as
 * aborted elsewhere before a later request arrived. Such a late request is answered by a read after
 * the write.
 */
final class PendingAcceptance {
  private final Submission submission;
  private final int storedBytes;
  private final List<String> guardedDependencies;
  private final List<Consumer<ApiResponse>> coveredRequests;
  private final List<Consumer<ApiResponse>> uncoveredRequests;
  private boolean sent;

  private PendingAcceptance(
      Submission submission,
      int storedBytes,
      List<String> guardedDependencies,
      List<Consumer<ApiResponse>> coveredRequests,
      List<Consumer<ApiResponse>> uncoveredRequests) {
    this.submission = submission;
    this.storedBytes = storedBytes;
    this.guardedDependencies = guardedDependencies;
    this.coveredRequests = coveredRequests;
    this.uncoveredRequests = uncoveredRequests;
  }

  /**
   * @param guardedDependencies jobs whose cancellation would abort this one, so that "queued" would
   *     be outdated
   */
  static PendingAcceptance of(Submission submission, List<String> guardedDependencies) {
    return new PendingAcceptance(
        submission,
        submission.storedBytes(),
        guardedDependencies,
        new ArrayList<>(List.of(submission.responder())),
        new ArrayList<>());
  }

  /** The same job and requests, to be written again under other guards. */
  PendingAcceptance retryWith(List<String> newGuardedDependencies) {
    return new PendingAcceptance(
        submission, storedBytes, newGuardedDependencies, coveredRequests, uncoveredRequests);
  }

  String uid() {
    return submission.spec().uid();
  }

  JobSpec spec() {
    return submission.spec();
  }

  /** The job's stored form. */
  JsonNode jobRecord() {
    return submission.jobRecord();
  }

  /** What the job takes of its record's size. */
  int storedBytes() {
    return storedBytes;
  }

  long receivedMs() {
    return submission.receivedMs();
  }

  List<String> guardedDependencies() {
    return guardedDependencies;
  }

  /** The write has been sent: requests from now on are late. */
  void markSent() {
    sent = true;
  }

  /** Adds a repeated request for the same job. */
  void addRequest(Consumer<ApiResponse> responder) {
    (isCoveredByConditions() ? coveredRequests : uncoveredRequests).add(responder);
  }

  /** Whether the write's conditions hold for a request that arrives now. */
  private boolean isCoveredByConditions() {
    boolean guarded = spec().dependencies().isEmpty() || !guardedDependencies.isEmpty();
    return guarded && !sent;
  }

  /** Answers the requests that are not late. */
  void respondToCovered(ApiResponse response) {
    coveredRequests.forEach(request -> request.accept(response));
  }

  boolean hasUncoveredRequests() {
    return !uncoveredRequests.isEmpty();
  }

  void respondToUncovered(ApiResponse response) {
    uncoveredRequests.forEach(request -> request.accept(response));
  }

  void respondToAll(ApiResponse response) {
    respondToCovered(response);
    respondToUncovered(response);
  }
}
