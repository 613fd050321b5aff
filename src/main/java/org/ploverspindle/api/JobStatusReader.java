package org.ploverspindle.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressCounts;
import org.ploverspindle.state.Replica;

/** How jobs are by the replica. Whether the replica is new enough is the caller's question. */
final class JobStatusReader {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final Replica replica;
  private final AcceptedJobIndex acceptedJobs;
  private final Pipelines pipelines;
  private final ProgressCounts counts;

  JobStatusReader(
      Replica replica, AcceptedJobIndex acceptedJobs, Pipelines pipelines, ProgressCounts counts) {
    this.replica = replica;
    this.acceptedJobs = acceptedJobs;
    this.pipelines = pipelines;
    this.counts = counts;
  }

  /** The answer to who asks when the replica can't be read in time. */
  static ApiResponse stateUnavailable() {
    return ApiResponse.retryLater(UNAVAILABLE, "the state can't be read now", 1);
  }

  boolean isKnown(String uid) {
    return acceptedJobs.get(uid).isPresent();
  }

  /** The job's state; empty when the replica has no such job. */
  Optional<ObjectNode> state(String uid) {
    Optional<AcceptedJobIndex.AcceptedJob> spec = acceptedJobs.get(uid);
    if (spec.isEmpty()) {
      return Optional.empty();
    }
    int tasks = spec.get().value().path("tasks").asInt();
    ObjectNode body = Cbor.map().put("uid", uid);
    if (isDone(uid)) {
      return Optional.of(body.put("status", "done").put("done", tasks).put("running", 0));
    }
    ProgressCounts.Counts known = counts.of(uid);
    if (isAborted(uid)) {
      return Optional.of(body.put("status", "aborted").put("done", known.done()).put("running", 0));
    }
    String status = known.running() > 0 ? "running" : "queued";
    return Optional.of(
        body.put("status", status).put("done", known.done()).put("running", known.running()));
  }

  /** The state as an answer; empty when the replica has no such job. */
  Optional<ApiResponse> response(String uid) {
    return state(uid).map(state -> ApiResponse.of(OK, state));
  }

  /** What is read back after a write, if the replica was read since. */
  ApiResponse responseAfterRead(String uid, boolean fresh) {
    return fresh ? response(uid).orElseGet(JobStatusReader::stateUnavailable) : stateUnavailable();
  }

  boolean isDone(String uid) {
    return replica.get(Keys.completion(uid)).isPresent();
  }

  /** Done or cancelled: it stays so, and no newer answer can differ. */
  boolean isTerminal(String uid) {
    return isKnown(uid) && (isDone(uid) || isAborted(uid));
  }

  /**
   * By its own cancellation, or by that of a job before it: the replica shows all of them at once,
   * so that this is as new as the replica. While it is loaded it need not be known yet which of two
   * records of a job counts.
   */
  boolean isAborted(String uid) {
    return replica.get(Keys.cancellation(uid)).isPresent()
        || replica.isLoaded() && pipelines.graph().isAborted(uid);
  }
}
