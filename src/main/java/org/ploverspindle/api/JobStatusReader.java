package org.ploverspindle.api;

import io.undertow.util.StatusCodes;
import java.util.Optional;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.AcceptedJobIndex.AcceptedJob;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressCounts;
import org.ploverspindle.state.Replica;

/**
 * The state of jobs as the replica shows it. Whether the replica is new enough to answer by is up
 * to the caller; see {@link LinearizableReads}.
 */
final class JobStatusReader {
  /** Field of a stored job record. */
  private static final String TASKS_FIELD = "tasks";

  private final Replica replica;
  private final AcceptedJobIndex acceptedJobs;
  private final Pipelines pipelines;
  private final ProgressCounts counts;

  JobStatusReader(JobViews views) {
    this.replica = views.replica();
    this.acceptedJobs = views.acceptedJobs();
    this.pipelines = views.pipelines();
    this.counts = views.counts();
  }

  /** Whether the replica shows that the job was accepted. */
  boolean isKnown(String uid) {
    return acceptedJobs.get(uid).isPresent();
  }

  /** The job's state; empty when the replica has no such job. */
  Optional<JobState> state(String uid) {
    return acceptedJobs.get(uid).map(job -> state(uid, job));
  }

  private JobState state(String uid, AcceptedJob job) {
    if (isDone(uid)) {
      return new JobState(uid, JobStatus.DONE, job.value().path(TASKS_FIELD).asInt(), 0);
    }
    ProgressCounts.Counts progress = counts.of(uid);
    if (isAborted(uid)) {
      return new JobState(uid, JobStatus.ABORTED, progress.completed(), 0);
    }
    JobStatus status = progress.running() > 0 ? JobStatus.RUNNING : JobStatus.QUEUED;
    return new JobState(uid, status, progress.completed(), progress.running());
  }

  /** The state as a 200 response; empty when the replica has no such job. */
  Optional<ApiResponse> response(String uid) {
    return state(uid).map(job -> ApiResponse.of(StatusCodes.OK, ResponseCodec.encodeState(job)));
  }

  /**
   * The state of a job that was written before the read barrier.
   *
   * @param fresh whether the read barrier was reached
   * @return a 503 if it was not, or if the replica does not have the job, as the write may still be
   *     executed
   */
  ApiResponse responseAfterRead(String uid, boolean fresh) {
    return fresh
        ? response(uid).orElseGet(ApiResponse::stateUnavailable)
        : ApiResponse.stateUnavailable();
  }

  /** Whether the job's completion is durable. */
  boolean isDone(String uid) {
    return replica.get(Keys.completion(uid)).isPresent();
  }

  /** Done or aborted: it stays so, hence a response needs no newer read. */
  boolean isTerminal(String uid) {
    return isKnown(uid) && (isDone(uid) || isAborted(uid));
  }

  /**
   * Aborted by its own cancellation, or by that of a direct or indirect dependency. The replica
   * shows all of them as of one revision, so this is as new as the replica. Dependencies count only
   * once the replica is loaded: before that, which of two records of a job is valid may be unknown.
   */
  boolean isAborted(String uid) {
    return replica.get(Keys.cancellation(uid)).isPresent()
        || replica.isLoaded() && pipelines.graph().isAborted(uid);
  }
}
