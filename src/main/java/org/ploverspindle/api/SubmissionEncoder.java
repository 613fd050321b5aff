package org.ploverspindle.api;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.state.DependenciesRecord;
import org.ploverspindle.state.JobRecord;

/** Brings jobs into their stored form, within the largest value of the state service. */
final class SubmissionEncoder {
  /** What a value holds beside its only job. */
  private static final int VALUE_OVERHEAD_BYTES = 50;

  private final Scheduler scheduler;
  private final Feasibility feasibility;
  private final int maxValueBytes;
  private final int shardSize;

  /**
   * @param maxValueBytes the largest value that a record may have
   * @param shardSize how many tasks a snapshot record of the job holds; stored with the job
   */
  SubmissionEncoder(
      Scheduler scheduler, Feasibility feasibility, int maxValueBytes, int shardSize) {
    this.scheduler = scheduler;
    this.feasibility = feasibility;
    this.maxValueBytes = maxValueBytes;
    this.shardSize = shardSize;
  }

  /** The job as received now; check {@link #fits} before it is written. */
  Submission encode(JobSpec spec, Consumer<ApiResponse> responder) {
    Submission submission = encodeUnfiltered(spec, responder);
    if (fits(submission) || spec.types().isEmpty()) {
      return submission;
    }
    // No task can be placed on a type that the cloud does not have, so that such names may be left
    // out of the record: a long list of them is no reason to refuse the job.
    List<String> knownTypes = spec.types().get().stream().filter(feasibility::isKnownType).toList();
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

  /** Whether the record fits into a value. */
  boolean fits(Submission submission) {
    return submission.storedBytes() <= maxValueBytes - VALUE_OVERHEAD_BYTES;
  }
}
