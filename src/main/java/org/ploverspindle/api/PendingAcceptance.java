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
  private final int bytes;
  private final List<String> guards;
  private final List<Consumer<ApiResponse>> requests;
  private final List<Consumer<ApiResponse>> lateRequests;
  private boolean sent;

  private PendingAcceptance(
      Submission submission,
      int bytes,
      List<String> guards,
      List<Consumer<ApiResponse>> requests,
      List<Consumer<ApiResponse>> lateRequests) {
    this.submission = submission;
    this.bytes = bytes;
    this.guards = guards;
    this.requests = requests;
    this.lateRequests = lateRequests;
  }

  /**
   * @param guards jobs whose cancellation would abort this one, so that "queued" would be outdated
   */
  static PendingAcceptance of(Submission submission, List<String> guards) {
    return new PendingAcceptance(
        submission,
        submission.bytes(),
        guards,
        new ArrayList<>(List.of(submission.responder())),
        new ArrayList<>());
  }

  /** The same job and requests, to be written again under other guards. */
  PendingAcceptance retryWith(List<String> newGuards) {
    return new PendingAcceptance(submission, bytes, newGuards, requests, lateRequests);
  }

  String uid() {
    return submission.spec().uid();
  }

  JobSpec spec() {
    return submission.spec();
  }

  /** The job's stored form. */
  JsonNode record() {
    return submission.record();
  }

  /** What the job takes of its record's size. */
  int bytes() {
    return bytes;
  }

  long receivedMs() {
    return submission.receivedMs();
  }

  List<String> guards() {
    return guards;
  }

  /** The write has been sent: requests from now on are late. */
  void markSent() {
    sent = true;
  }

  /** Adds a repeated request for the same job. */
  void addRequest(Consumer<ApiResponse> responder) {
    (isCoveredByConditions() ? requests : lateRequests).add(responder);
  }

  /** Whether the write's conditions hold for a request that arrives now. */
  private boolean isCoveredByConditions() {
    boolean guarded = spec().dependencies().isEmpty() || !guards.isEmpty();
    return guarded && !sent;
  }

  /** Answers the requests that are not late. */
  void respond(ApiResponse response) {
    requests.forEach(request -> request.accept(response));
  }

  boolean hasLateRequests() {
    return !lateRequests.isEmpty();
  }

  void respondToLateRequests(ApiResponse response) {
    lateRequests.forEach(request -> request.accept(response));
  }

  void respondToAll(ApiResponse response) {
    respond(response);
    respondToLateRequests(response);
  }
}
