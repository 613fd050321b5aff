package org.ploverspindle.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.DependenciesRecord;
import org.ploverspindle.state.JobRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes submissions in: what can be accepted is stored, all else is answered at once. */
final class SubmissionService {
  private static final Logger LOG = LoggerFactory.getLogger(SubmissionService.class);

  /** A list of dependencies that is not stored by then is gone on with for the user's repeat. */
  private static final long LIST_LIMIT_MS = 3_500;

  /** Afterwards there is so much left for the job itself. */
  private static final long AFTER_LIST_MS = 1_000;

  /** What a value holds beside its only job. */
  private static final int FRAME_BYTES = 50;

  private static final int MALFORMED = 400;
  private static final int NEVER_RUNS = 422;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;
  private static final int MANY_LISTS_RETRY_S = 3;

  private final Scheduler scheduler;
  private final LinearizableReads reads;
  private final JobStatusReader states;
  private final Feasibility feasibility;
  private final DependencyCheck dependencies;
  private final DependencyListWriter lists;
  private final AcceptanceWriter writer;
  private final int valueBytes;
  private final int chunk;

  /**
   * @param valueBytes the largest value that a record may take
   * @param chunk tasks in one of the job's progress records, stored with the job
   */
  SubmissionService(
      Scheduler scheduler,
      LinearizableReads reads,
      JobStatusReader states,
      Feasibility feasibility,
      DependencyCheck dependencies,
      DependencyListWriter lists,
      AcceptanceWriter writer,
      int valueBytes,
      int chunk) {
    this.scheduler = scheduler;
    this.reads = reads;
    this.states = states;
    this.feasibility = feasibility;
    this.dependencies = dependencies;
    this.lists = lists;
    this.writer = writer;
    this.valueBytes = valueBytes;
    this.chunk = chunk;
  }

  /** Answers a submission, at the latest when its user is about to give up. */
  void submit(byte[] bytes, Consumer<ApiResponse> then) {
    Optional<ObjectNode> body = Cbor.readMap(bytes);
    if (body.isEmpty()) {
      then.accept(ApiResponse.error(MALFORMED, "the body must be a CBOR map"));
      return;
    }
    Optional<String> uid = SubmissionCodec.uid(body.get());
    if (uid.isEmpty()) {
      then.accept(ApiResponse.error(MALFORMED, "missing or invalid: uid"));
    } else if (!reads.isLoaded() || reads.isStale()) {
      reads.refresh();
      then.accept(JobStatusReader.stateUnavailable());
    } else if (states.isKnown(uid.get())) {
      known(uid.get(), then);
    } else {
      unknown(uid.get(), body.get(), then);
    }
  }

  private void unknown(String uid, ObjectNode body, Consumer<ApiResponse> then) {
    JobSpec spec;
    try {
      spec = SubmissionCodec.decode(body);
    } catch (SubmissionCodec.MalformedSubmissionException e) {
      LOG.info("submission {} is malformed: {}", uid, e.getMessage());
      ApiResponse refusal = ApiResponse.error(MALFORMED, "missing or invalid: " + e.getMessage());
      refuseUnlessKnown(uid, refusal, then);
      return;
    }
    if (!feasibility.isDecidable()) {
      then.accept(ApiResponse.retryLater(UNAVAILABLE, "the machine types are not known yet", 2));
      return;
    }
    Submission submission = submission(spec, then);
    Optional<String> never = feasibility.reasonNeverRuns(spec);
    if (never.isEmpty() && submission.bytes() > mostBytes()) {
      never = Optional.of("the job's description is too long to be kept");
    }
    if (never.isPresent()) {
      refuseUnlessKnown(uid, ApiResponse.error(NEVER_RUNS, never.get()), then);
    } else if (spec.dependencies().isEmpty()) {
      writer.accept(submission, List.of());
    } else {
      acceptWithDependencies(submission);
    }
  }

  private int mostBytes() {
    return valueBytes - FRAME_BYTES;
  }

  private Submission submission(JobSpec spec, Consumer<ApiResponse> then) {
    Submission whole = encoded(spec, then);
    if (whole.bytes() > mostBytes() && spec.types().isPresent()) {
      // Types that the cloud does not name run nothing: a job is not refused for a list of them.
      return encoded(
          spec.withTypes(spec.types().get().stream().filter(feasibility::isKnownType).toList()),
          then);
    }
    return whole;
  }

  private Submission encoded(JobSpec spec, Consumer<ApiResponse> then) {
    long nowMs = scheduler.nowMs();
    JobRecord record = new JobRecord(spec, scheduler.wallMs(), chunk);
    Submission whole = new Submission(spec, record.encode(), Optional.empty(), nowMs, then);
    if (spec.dependencies().isEmpty() || whole.bytes() <= mostBytes()) {
      return whole;
    }
    DependenciesRecord list = DependenciesRecord.split(spec.uid(), spec.dependencies(), valueBytes);
    return new Submission(spec, record.encode(list), Optional.of(list), nowMs, then);
  }

  /**
   * A job that was accepted stays so, which makes the replica good enough to accept by. What it may
   * not show is that this very job was accepted elsewhere and called aborted since: either the
   * write excludes that by conditions, or the replica is first read anew.
   */
  private void acceptWithDependencies(Submission submission) {
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
      submission.responder().accept(JobStatusReader.stateUnavailable());
      return;
    }
    Optional<ApiResponse> answer =
        states
            .response(spec.uid())
            .or(() -> dependencies.invalidDependency(spec).map(SubmissionService::neverRuns));
    if (answer.isPresent()) {
      submission.responder().accept(answer.get());
    } else if (submission.dependencyList().isPresent()) {
      storeList(submission, submission.dependencyList().get());
    } else {
      writer.accept(submission, dependencies.guards(spec).orElse(List.of()));
    }
  }

  private static ApiResponse neverRuns(String why) {
    return ApiResponse.error(NEVER_RUNS, why);
  }

  private void storeList(Submission submission, DependenciesRecord list) {
    if (lists.isFull()) {
      submission
          .responder()
          .accept(
              ApiResponse.retryLater(TOO_MANY, "too many long lists at once", MANY_LISTS_RETRY_S));
      return;
    }
    boolean[] answered = {false};
    Consumer<Boolean> once =
        stands -> {
          if (!answered[0]) {
            answered[0] = true;
            afterList(submission, stands);
          }
        };
    scheduler.schedule(
        Math.max(0, submission.receivedMs() + LIST_LIMIT_MS - scheduler.nowMs()),
        () -> once.accept(false));
    lists.write(list, once);
  }

  private void afterList(Submission submission, boolean stands) {
    if (stands) {
      long cameMs = scheduler.nowMs() - AcceptanceWriter.WRITE_DEADLINE_MS + AFTER_LIST_MS;
      writer.accept(
          submission.withReceivedMs(Math.max(cameMs, submission.receivedMs())), List.of());
    } else {
      submission
          .responder()
          .accept(ApiResponse.retryLater(UNAVAILABLE, "the list of jobs is not stored yet", 1));
    }
  }

  private void known(String uid, Consumer<ApiResponse> then) {
    if (states.isTerminal(uid)) {
      then.accept(states.response(uid).orElseThrow());
    } else {
      reads.readBarrier(fresh -> then.accept(states.responseAfterRead(uid, fresh)));
    }
  }

  /** A job that any node accepted is never refused, also when the repeat's body is not as good. */
  private void refuseUnlessKnown(String uid, ApiResponse refusal, Consumer<ApiResponse> then) {
    reads.readBarrier(
        fresh ->
            then.accept(
                fresh ? states.response(uid).orElse(refusal) : JobStatusReader.stateUnavailable()));
  }
}
