package org.ploverspindle.api;

import io.undertow.util.StatusCodes;
import java.util.Optional;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.AcceptedJobIndex.AcceptedJob;
import org.ploverspindle.state.EndedJobs;
import org.ploverspindle.state.JobOutcome;
import org.ploverspindle.state.ProgressCounts;
import org.ploverspindle.state.Replica;

/**
 * Reads the state of jobs from the replica. The caller must ensure that the replica is recent
 * enough for its response; see {@link LinearizableReads}.
 */
final class JobStatusReader {
  /** Field of a stored job record: the number of the job's tasks. */
  private static final String TASKS_FIELD = "tasks";

  private final Replica replica;
  private final EndedJobs endedJobs;
  private final AcceptedJobIndex acceptedJobs;
  private final Pipelines pipelines;
  private final ProgressCounts counts;

  JobStatusReader(JobViews views) {
    this.replica = views.replica();
    this.endedJobs = replica.endedJobs();
    this.acceptedJobs = views.acceptedJobs();
    this.pipelines = views.pipelines();
    this.counts = views.counts();
  }

  /** Whether the replica shows that the job was accepted. */
  boolean isKnown(String uid) {
    return acceptedJobs.isAccepted(uid);
  }

  /** Returns the job's state; empty if the replica has no such job. */
  Optional<JobState> state(String uid) {
    return acceptedJobs
        .get(uid)
        .map(job -> state(uid, job))
        .or(() -> endedJobs.get(uid).map(job -> state(uid, job)));
  }

  private static JobState state(String uid, EndedJobs.EndedJob job) {
    JobStatus status = job.outcome() == JobOutcome.DONE ? JobStatus.DONE : JobStatus.ABORTED;
    return new JobState(uid, status, job.completedTasks(), 0);
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

  /** Returns a 200 response with the job's state; empty if the replica has no such job. */
  Optional<ApiResponse> response(String uid) {
    return state(uid).map(job -> ApiResponse.of(StatusCodes.OK, ResponseCodec.encodeState(job)));
  }

  /**
   * Returns the response with the state of a job whose record was written before the read barrier.
   *
   * @param fresh whether the read barrier was reached
   * @return a 503 if the read barrier was not reached, or if the replica does not have the job, as
   *     its write may still be executed
   */
  ApiResponse responseAfterRead(String uid, boolean fresh) {
    return fresh
        ? response(uid).orElseGet(ApiResponse::stateUnavailable)
        : ApiResponse.stateUnavailable();
  }

  /** Whether the job's completion is durable. */
  boolean isDone(String uid) {
    return endedJobs.isDone(uid);
  }

  /**
   * Whether the job is done or aborted. Both are final, so a response with such a status needs no
   * newer read.
   */
  boolean isTerminal(String uid) {
    return isKnown(uid) && (isDone(uid) || isAborted(uid));
  }

  /**
   * Whether the job is aborted by its own cancellation, or by that of a direct or indirect
   * dependency. The replica shows all cancellations as of one revision, so the result is as recent
   * as the replica. Dependencies are considered only once the replica is loaded: before that, it
   * may be unknown which of two records of a job is valid.
   */
  boolean isAborted(String uid) {
    return endedJobs.isCancelled(uid) || replica.isLoaded() && pipelines.graph().isAborted(uid);
  }
}
