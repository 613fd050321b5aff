package org.ploverspindle.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.StatusCodes;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.net.Cbor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles submissions. A job that can be accepted is stored before the response; a repeated
 * submission gets the job's state; any other submission is refused with the reason.
 */
final class SubmissionService {
  private static final Logger LOG = LoggerFactory.getLogger(SubmissionService.class);

  private static final String MALFORMED_PREFIX = "missing or invalid: ";

  private final LinearizableReads reads;
  private final JobStatusReader statuses;
  private final Feasibility feasibility;
  private final SubmissionEncoder encoder;
  private final AcceptanceWriter acceptanceWriter;
  private final DependentSubmissions dependentSubmissions;

  SubmissionService(
      LinearizableReads reads,
      JobStatusReader statuses,
      Feasibility feasibility,
      SubmissionEncoder encoder,
      AcceptanceWriter acceptanceWriter,
      DependentSubmissions dependentSubmissions) {
    this.reads = reads;
    this.statuses = statuses;
    this.feasibility = feasibility;
    this.encoder = encoder;
    this.acceptanceWriter = acceptanceWriter;
    this.dependentSubmissions = dependentSubmissions;
  }

  /** Responds to a submission, at the latest when its user is about to give up. */
  void submit(byte[] bytes, Consumer<ApiResponse> responder) {
    Optional<ObjectNode> body = Cbor.readMap(bytes);
    if (body.isEmpty()) {
      responder.accept(ApiResponse.error(StatusCodes.BAD_REQUEST, "the body must be a CBOR map"));
      return;
    }
    Optional<String> uid = SubmissionCodec.uid(body.get());
    if (uid.isEmpty()) {
      responder.accept(ApiResponse.error(StatusCodes.BAD_REQUEST, MALFORMED_PREFIX + "uid"));
    } else if (!reads.isLoaded() || reads.isStale()) {
      reads.refresh();
      responder.accept(ApiResponse.stateUnavailable());
    } else if (statuses.isKnown(uid.get())) {
      respondToRepeat(uid.get(), responder);
    } else {
      submitNew(uid.get(), body.get(), responder);
    }
  }

  private void respondToRepeat(String uid, Consumer<ApiResponse> responder) {
    if (statuses.isTerminal(uid)) {
      responder.accept(statuses.response(uid).orElseThrow());
    } else {
      reads.readBarrier(fresh -> responder.accept(statuses.responseAfterRead(uid, fresh)));
    }
  }

  private void submitNew(String uid, ObjectNode body, Consumer<ApiResponse> responder) {
    JobSpec spec;
    try {
      spec = SubmissionCodec.decode(body);
    } catch (MalformedSubmissionException e) {
      LOG.info("submission malformed: job={} field={}", uid, e.getMessage());
      refuseUnlessKnown(uid, StatusCodes.BAD_REQUEST, MALFORMED_PREFIX + e.getMessage(), responder);
      return;
    }
    if (!feasibility.areMachineTypesKnown()) {
      responder.accept(
          ApiResponse.retryLater(
              StatusCodes.SERVICE_UNAVAILABLE, "the machine types are not known yet", 2));
      return;
    }
    Submission submission = encoder.encode(spec, responder);
    Optional<String> refusal = reasonToRefuse(submission, spec);
    if (refusal.isPresent()) {
      refuseUnlessKnown(uid, StatusCodes.UNPROCESSABLE_ENTITY, refusal.get(), responder);
    } else if (spec.dependencies().isEmpty()) {
      acceptanceWriter.accept(submission, List.of());
    } else {
      dependentSubmissions.accept(submission);
    }
  }

  private Optional<String> reasonToRefuse(Submission submission, JobSpec spec) {
    Optional<String> neverRuns = feasibility.reasonNeverRuns(spec);
    if (neverRuns.isEmpty() && !encoder.fits(submission)) {
      return Optional.of("the job's description is too long to be kept");
    }
    return neverRuns;
  }

  /**
   * Refuses a submission unless its job is already accepted. A job that any controller accepted is
   * never refused, even if the body of a repeated request is invalid, so the replica is read first.
   */
  private void refuseUnlessKnown(
      String uid, int status, String reason, Consumer<ApiResponse> responder) {
    ApiResponse refusal = ApiResponse.error(status, reason);
    reads.readBarrier(
        fresh ->
            responder.accept(
                fresh ? statuses.response(uid).orElse(refusal) : ApiResponse.stateUnavailable()));
  }
}
