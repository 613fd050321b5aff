package org.ploverspindle.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.ploverspindle.model.JobSpec;

/**
 * A job whose acceptance is not durable yet, with all requests on this controller that wait for it.
 *
 * <p>Requests that the conditions of the write cover are answered with its result. The conditions
 * don't cover the time after the write was sent: another controller may have accepted the job and
 * reported it as aborted before a later request arrived. They also don't cover a repeated request
 * for a job with dependencies of which none is guarded. Uncovered requests are answered by a read
 * after the write.
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
   * @param guardedDependencies dependencies whose cancellation would abort this job, so that a
   *     response "queued" would be outdated
   */
  static PendingAcceptance of(Submission submission, List<String> guardedDependencies) {
    return new PendingAcceptance(
        submission,
        submission.storedBytes(),
        guardedDependencies,
        new ArrayList<>(List.of(submission.responder())),
        new ArrayList<>());
  }

  /**
   * Returns the same job with the same requests, to be written again with other guarded
   * dependencies.
   */
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

  /** Returns the job's stored form. */
  JsonNode jobRecord() {
    return submission.jobRecord();
  }

  /** Returns the bytes that the job adds to the value of the record that stores it. */
  int storedBytes() {
    return storedBytes;
  }

  long receivedMs() {
    return submission.receivedMs();
  }

  List<String> guardedDependencies() {
    return guardedDependencies;
  }

  /** Notes that the write has been sent: requests that arrive from now on are uncovered. */
  void markSent() {
    sent = true;
  }

  /** Adds a repeated request for the same job. */
  void addRequest(Consumer<ApiResponse> responder) {
    (isCoveredByConditions() ? coveredRequests : uncoveredRequests).add(responder);
  }

  /** Whether the conditions of the write cover a request that arrives now. */
  private boolean isCoveredByConditions() {
    boolean guarded = spec().dependencies().isEmpty() || !guardedDependencies.isEmpty();
    return guarded && !sent;
  }

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
