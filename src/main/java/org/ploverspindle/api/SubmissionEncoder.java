package org.ploverspindle.api;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.state.DependenciesRecord;
import org.ploverspindle.state.JobRecord;

/** Encodes jobs for storage, within the size limit of a value. */
final class SubmissionEncoder {
  /** Upper bound of the bytes that a value holds in addition to its only job. */
  private static final int VALUE_OVERHEAD_BYTES = 50;

  private final Scheduler scheduler;
  private final Feasibility feasibility;
  private final int maxValueBytes;
  private final int shardSize;

  /**
   * @param maxValueBytes largest size of a record's value in bytes
   * @param shardSize number of tasks in a shard of the job's snapshots; stored with the job
   */
  SubmissionEncoder(
      Scheduler scheduler, Feasibility feasibility, int maxValueBytes, int shardSize) {
    this.scheduler = scheduler;
    this.feasibility = feasibility;
    this.maxValueBytes = maxValueBytes;
    this.shardSize = shardSize;
  }

  /**
   * Encodes a job that is received now. The caller must check with {@link #fits} that it can be
   * stored.
   */
  Submission encode(JobSpec spec, Consumer<ApiResponse> responder) {
    Submission submission = encodeUnfiltered(spec, responder);
    if (fits(submission) || spec.allowedTypes().isEmpty()) {
      return submission;
    }
    // No task can be placed on a machine type that the cloud does not have, so the names of such
    // types may be left out of the record: a long list of them is no reason to refuse the job.
    List<String> knownTypes =
        spec.allowedTypes().get().stream().filter(feasibility::isKnownType).toList();
    return encodeUnfiltered(spec.withTypes(knownTypes), responder);
  }

  private Submission encodeUnfiltered(JobSpec spec, Consumer<ApiResponse> responder) {
    long nowMs = scheduler.nowMs();
    JobRecord record = new JobRecord(spec, scheduler.wallMs(), shardSize);
    Submission submission =
        new Submission(spec, record.encode(), Optional.empty(), nowMs, responder);
    if (spec.dependencies().isEmpty() || fits(submission)) {
      return submission;
    }
    DependenciesRecord list =
        DependenciesRecord.split(spec.uid(), spec.dependencies(), maxValueBytes);
    return new Submission(spec, record.encode(list), Optional.of(list), nowMs, responder);
  }

  /** Whether the job's record fits into a value. */
  boolean fits(Submission submission) {
    return submission.storedBytes() <= maxValueBytes - VALUE_OVERHEAD_BYTES;
  }
}
